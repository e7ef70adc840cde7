package org.damasktiller.node.process;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Handles signals of the operating system. The runtime's own class for it is no part of the Java
 * API, so that it is reached by reflection; without a handler the runtime would end on SIGHUP.
 */
final class ProcessSignals {

    /** The runtime's class of signals. */
    private static final String SIGNAL_CLASS = "sun.misc.Signal";

    /** The runtime's interface of handlers. */
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    /** Prevents instantiation. */
    private ProcessSignals() {}

    /**
     * Runs an action on each signal of a kind, on a thread of the runtime.
     *
     * @param name the name of the signal without its prefix, such as TERM
     * @param action the action
     */
    static void handle(String name, Runnable action) {
        try {
            Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            Object handler =
                    Proxy.newProxyInstance(
                            ProcessSignals.class.getClassLoader(),
                            new Class<?>[] {handlerClass},
                            (proxy, method, arguments) -> call(proxy, method, arguments, action));
            Object signal = signalClass.getConstructor(String.class).newInstance(name);
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signal, handler);
        } catch (ReflectiveOperationException exception) {
            throw new IllegalStateException("signal " + name + " can't be handled", exception);
        }
    }

    /**
     * Answers a call of the handler.
     *
     * @param proxy the handler
     * @param method the method called
     * @param arguments its arguments
     * @param action the action
     * @return the result
     * @throws InvocationTargetException never
     */
    private static Object call(Object proxy, Method method, Object[] arguments, Runnable action)
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
