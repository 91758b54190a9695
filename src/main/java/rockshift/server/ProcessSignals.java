package rockshift.server;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The signals that a governor's process gets, from its first instruction on: SIGHUP has the file
 * read again, SIGTERM ends it with status 0. It owns who is told of them, and what came before
 * anybody could be told: a reload is kept until then, an end is carried out at once. It must load
 * next to nothing, as whatever comes before it stands is left to the virtual machine, which ends
 * the process.
 */
public final class ProcessSignals {
    /** Who is told of signals. */
    public interface Listener {
        void reload();

        void stop() throws InterruptedException;
    }

    private Listener listener;
    private boolean reloadKept;
    private boolean exiting;

    /** Whether whoever started the process had SIGHUP ignored, which nobody here can undo. */
    private boolean hangupIgnored;

    /**
     * Signals that come from now on come here. Anonymous classes, as the first lambda costs a tenth
     * of the start.
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

    boolean hangupIgnored() {
        return hangupIgnored;
    }

    /** From now on the listener is told; first of a reload that was asked for before. */
    public void tell(Listener told) {
        boolean reload;
        synchronized (this) {
            listener = told;
            reload = reloadKept;
            reloadKept = false;
        }
        if (reload) {
            told.reload();
        }
    }

    void reload() {
        Listener told;
        synchronized (this) {
            told = listener;
            reloadKept = told == null;
        }
        if (told != null) {
            told.reload();
        }
    }

    /**
     * Ends what serves; answers whether a signal is why, and not that the program ends by itself.
     */
    boolean stop() {
        Listener told;
        synchronized (this) {
            if (exiting) {
                return false;
            }
            told = listener;
        }
        try {
            if (told != null) {
                told.stop();
            }
        } catch (InterruptedException hurried) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException failure) {
            // The process ends whatever could not be ended in order.
            failure.printStackTrace();
        }
        return true;
    }

    /** From now on the program ends by itself, with a status of its own. */
    public synchronized void release() {
        exiting = true;
    }
}
