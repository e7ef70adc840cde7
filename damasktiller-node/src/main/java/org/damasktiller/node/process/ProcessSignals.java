package org.damasktiller.node.process;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Installs handlers for signals of the operating system. The JDK's signal classes are not part of
 * the Java API and are therefore called by reflection. Without a handler, the JVM exits on SIGHUP.
 */
final class ProcessSignals {

    /** The JDK's class of a signal. */
    private static final String SIGNAL_CLASS = "sun.misc.Signal";

    /** The JDK's interface of a signal handler. */
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    /** Prevents instantiation. */
    private ProcessSignals() {}

    /**
     * Installs a handler that runs an action, on a thread of the JVM, each time a signal arrives.
     *
     * @param name the name of the signal without the prefix SIG, such as TERM
     * @param action the action, which must be thread-safe
     */
    static void handle(String name, Runnable action) {
        try {
            Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            Object handler =
                    Proxy.newProxyInstance(
                            ProcessSignals.class.getClassLoader(),
                            new Class<?>[] {handlerClass},
                            (proxy, method, arguments) ->
                                    callHandler(proxy, method, arguments, action));
            Object signal = signalClass.getConstructor(String.class).newInstance(name);
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signal, handler);
        } catch (ReflectiveOperationException exception) {
            throw new IllegalStateException(
                    "the handler for signal " + name + " can't be installed", exception);
        }
    }

    /**
     * Handles a method call on the proxy that stands for the signal handler.
     *
     * @param proxy the proxy
     * @param method the called method
     * @param arguments the arguments of the call
     * @param action the action to run for a signal
     * @return the result of the called method
     * @throws InvocationTargetException never
     */
    private static Object callHandler(
            Object proxy, Method method, Object[] arguments, Runnable action)
            throws InvocationTargetException {
        return switch (method.getName()) {
            case "handle" -> {
                action.run();
                yield "";
            }
            case "equals" -> proxy == arguments[0];
            case "hashCode" -> System.identityHashCode(proxy);
            default -> "signal handler";
        };
    }
}
