import type { NodeEnvironment } from "../runtime/node_environment.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import type { NodeDaemon } from "./node_daemon.ts";
import type { NodeListeners } from "./node_listeners.ts";
import type { NodeRuntimes } from "./node_runtimes.ts";
import { shutDown } from "./shut_down.ts";

/** Creates the `stop` and `abort` methods of a node; a second `stop` returns the promise of the first. */
export function createStopControls(
  options: {
    readonly runtimes: NodeRuntimes;
    readonly listeners: NodeListeners;
    readonly environment: NodeEnvironment;
    readonly drainMilliseconds: number;
    /** Called before new calls are refused. */
    readonly onStop: () => void;
  },
): Pick<NodeDaemon, "stop" | "abort"> {
  const { runtimes, listeners, environment } = options;
  let abort = () => {};
  const aborted = new Promise<void>((resolve) => {
    abort = resolve;
  });
  let stopping: Promise<number> | undefined;

  async function stopOnce(): Promise<number> {
    options.onStop();
    runtimes.leavingWatch.stop();
    const abortedCalls = await shutDown({
      runtimes,
      listeners,
      environment,
      aborted,
      deadline: environment.clock.now() + options.drainMilliseconds,
    });
    environment.auditTrail.record({
      kind: AuditEntryKind.NodeStopped,
      source: "self",
      subject: `${abortedCalls} calls cut`,
      reasons: [],
    });
    return abortedCalls;
  }

  return {
    stop: () => {
      stopping ??= stopOnce();
      return stopping;
    },
    abort,
  };
}
