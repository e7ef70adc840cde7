package org.damasktiller.daemon.settings;

import com.beust.jcommander.IStringConverter;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Reads an address as an IP number and a port, such as {@code 127.0.0.1:8080}. */
public final class AddressConverter implements IStringConverter<InetSocketAddress> {

    /** What is allowed, for error messages. */
    public static final String ALLOWED = "an IP number and a port, such as 127.0.0.1:8080";

    /** The name of the setting. */
    private final String setting;

    /**
     * Creates a converter for a setting.
     *
     * @param setting the name of the setting
     */
    public AddressConverter(String setting) {
        this.setting = setting;
    }

    @Override
    public InetSocketAddress convert(String value) {
        try {
            HostAndPort hostAndPort = HostAndPort.fromString(value.trim());
            return new InetSocketAddress(
                    InetAddresses.forString(hostAndPort.getHost()), hostAndPort.getPort());
        } catch (IllegalArgumentException | IllegalStateException exception) {
            throw Settings.refused(setting, value, ALLOWED, exception);
        }
    }
}
