package org.damasktiller.daemon.settings;

import com.beust.jcommander.IStringConverter;
import com.google.common.base.Splitter;
import java.net.InetSocketAddress;
import java.util.List;

/** Reads addresses separated by commas; an empty text gives an empty list. */
public final class AddressListConverter implements IStringConverter<List<InetSocketAddress>> {

    /** Splits the text. */
    private static final Splitter COMMAS = Splitter.on(',').trimResults().omitEmptyStrings();

    /** Reads one address. */
    private final AddressConverter converter;

    /**
     * Creates a converter for a setting.
     *
     * @param setting the name of the setting
     */
    public AddressListConverter(String setting) {
        converter = new AddressConverter(setting);
    }

    @Override
    public List<InetSocketAddress> convert(String value) {
        return COMMAS.splitToStream(value).map(converter::convert).toList();
    }
}
