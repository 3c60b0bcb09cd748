package io.stackhall.server.cli;

import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Hears the signal by which a process is told that its settings have changed. Unheard, it would end
 * the process.
 *
 * <p>The only API for signals is in {@code jdk.unsupported}; it is called by reflection, because a
 * compiler warning about it cannot be suppressed.
 */
final class HangUpSignal {

    private static final Logger logger = LogManager.getLogger(HangUpSignal.class);

    private HangUpSignal() {}

    static void install(Runnable reload) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            Object heard =
                    Proxy.newProxyInstance(
                            HangUpSignal.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, arguments) -> {
                                if (method.getName().equals("handle")) {
                                    reload.run();
                                }
                                return null;
                            });
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, heard);
        } catch (ReflectiveOperationException e) {
            logger.warn(
                    "signal.unavailable: settings are read at the start only: {}", e.toString());
        }
    }
}
