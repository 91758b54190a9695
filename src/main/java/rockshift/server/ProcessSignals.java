package rockshift.server;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles the signals of a controller's process from its start: SIGHUP reloads its file, SIGTERM
 * ends it with status 0. Before a listener is set, a reload is kept for it, and SIGTERM ends the
 * process at once.
 *
 * <p>Thread-safe: its lock guards its fields and is not held while the listener runs. It loads very
 * few classes, because a signal that arrives before it is installed goes to the virtual machine,
 * which ends the process.
 */
public final class ProcessSignals {
    /** Reacts to signals, on the thread of the signal. */
    public interface Listener {
        /** Reads the file again, on SIGHUP. */
        void reload();

        /** Stops serving, on SIGTERM, before the process ends. */
        void stop() throws InterruptedException;
    }

    private Listener listener;
    private boolean reloadPending;

    /** Whether the program is exiting by itself, with its own status. */
    private boolean exiting;

    /** Whether the process was started with SIGHUP ignored, which cannot be undone here. */
    private boolean hangupIgnored;

    /**
     * Installs the handlers. They are anonymous classes, because the first lambda takes a tenth of
     * the start time.
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

    /** Sets the listener, and passes it a reload that was requested before. */
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
     * Stops serving.
     *
     * @return whether a signal ends the process, rather than the program itself
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
            // The process ends even if not everything could be stopped in order.
            failure.printStackTrace();
        }
        return true;
    }

    /** Marks the program as exiting by itself, with its own status. */
    public synchronized void markExiting() {
        exiting = true;
    }
}
