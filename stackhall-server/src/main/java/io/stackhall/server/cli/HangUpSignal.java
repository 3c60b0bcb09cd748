package io.stackhall.server.cli;

import java.lang.reflect.Proxy;
import java.util.Optional;

/**
 * Hears the signal by which a process is told that its settings have changed. Unheard, it would end
 * the process.
 *
 * <p>It is heard from the first line of the program on: a process takes a second and more to start,
 * and one that was told in that time ended, or left as soon as it was ready.
 *
 * <p>The only API for signals is in {@code jdk.unsupported}; it is called by reflection, because a
 * compiler warning about it cannot be suppressed.
 */
final class HangUpSignal {

    private boolean available;
    private boolean heard;
    private Optional<Runnable> reload = Optional.empty();

    private HangUpSignal() {}

    /** Hears the signal from now on. */
    static HangUpSignal install() {
        HangUpSignal installed = new HangUpSignal();
        installed.available = installed.listen();
        return installed;
    }

    /** Returns whether the signal can be heard on this machine. */
    boolean available() {
        return available;
    }

    /**
     * Has something done at each signal, on a thread of its own; at once if the signal has come
     * before.
     */
    synchronized void onSignal(Runnable action) {
        reload = Optional.of(action);
        if (heard) {
            heard();
        }
    }

    private synchronized void heard() {
        heard = true;
        reload.ifPresent(action -> Thread.ofPlatform().name("hang-up").daemon().start(action));
    }

    private boolean listen() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            Object listener =
                    Proxy.newProxyInstance(
                            HangUpSignal.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, arguments) -> {
                                if (method.getName().equals("handle")) {
                                    heard();
                                }
                                return null;
                            });
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, listener);
            return true;
        } catch (ReflectiveOperationException e) {
            return false;
        }
    }
}
