package rockshift.server;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The signals of a controller's process, from its first instruction on: SIGHUP reloads its file,
 * SIGTERM ends it with status 0. Until a listener is set, a reload is kept for it, and an end is
 * carried out at once.
 *
 * <p>Any thread may call it; its lock guards its fields and is not held while the listener works.
 * It loads next to nothing, since a signal that comes before it is installed is left to the virtual
 * machine, which ends the process.
 */
public final class ProcessSignals {
    /** Carries out what a signal asks for, on the signal's own thread. */
    public interface Listener {
        /** SIGHUP: reads the file again. */
        void reload();

        /** SIGTERM: ends what serves, before the process ends. */
        void stop() throws InterruptedException;
    }

    private Listener listener;
    private boolean reloadPending;

    /** Whether the program ends by itself, with a status of its own. */
    private boolean exiting;

    /** Whether whoever started the process had SIGHUP ignored, which cannot be undone here. */
    private boolean hangupIgnored;

    /**
     * Installs the handlers. They are anonymous classes, since the first lambda costs a tenth of a
     * start.
     */
    public static ProcessSignals install() {
        ProcessSignals signals = new ProcessSignals();
        signals.hangupIgnored =
                SignalHandler.SIG_IGN
                        == Signal.handle(
                                new Signal("HUP"),
                                new SignalHandler() {
                                    @Override
                                    public void handle(Signal hangup) {
                                        signals.reload();
                                    }
                                });
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread("stop") {
                            @Override
                            public void run() {
                                if (signals.stop()) {
                                    Runtime.getRuntime().halt(0);
                                }
                            }
                        });
        return signals;
    }

    boolean isHangupIgnored() {
        return hangupIgnored;
    }

    /** Sets who carries out signals; hands on a reload that was asked for before. */
    public void setListener(Listener newListener) {
        boolean reload;
        synchronized (this) {
            listener = newListener;
            reload = reloadPending;
            reloadPending = false;
        }
        if (reload) {
            newListener.reload();
        }
    }

    void reload() {
        Listener current;
        synchronized (this) {
            current = listener;
            reloadPending = current == null;
        }
        if (current != null) {
            current.reload();
        }
    }

    /**
     * Ends what serves.
     *
     * @return whether a signal is the reason, rather than the program's own end
     */
    boolean stop() {
        Listener current;
        synchronized (this) {
            if (exiting) {
                return false;
            }
            current = listener;
        }
        try {
            if (current != null) {
                current.stop();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException failure) {
            // The process ends whatever could not be ended in order.
            failure.printStackTrace();
        }
        return true;
    }

    /** Notes that the program ends by itself from now on, with a status of its own. */
    public synchronized void release() {
        exiting = true;
    }
}
