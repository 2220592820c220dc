import { createRefusal } from "../calls/create_refusal.ts";
import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import type { NodeEnvironment } from "../runtime/node_environment.ts";
import type { TimerHandle } from "../runtime/timer_handle.ts";
import { formatRawNodeRefusal } from "./format_raw_node_refusal.ts";
import { formatRawCallerRefusal } from "./format_raw_caller_refusal.ts";
import type { NodeListeners } from "./node_listeners.ts";
import type { NodeRuntimes } from "./node_runtimes.ts";

/** Minimum time for which a stopping node keeps its listeners open, to refuse requests that arrive late. */
const lateRequestMilliseconds = 500;

/** The parts of a node that a shutdown stops, and its limits. */
interface ShutDownOptions {
  readonly runtimes: NodeRuntimes;
  readonly listeners: NodeListeners;
  readonly environment: NodeEnvironment;
  /** When running calls are aborted, in milliseconds since the Unix epoch. */
  readonly deadline: number;
  /** Resolves when the shutdown must finish immediately. */
  readonly aborted: Promise<void>;
}

async function finishCalls(options: ShutDownOptions): Promise<void> {
  const { runtimes, environment, listeners } = options;
  const lateRequestsEndAt = environment.clock.now() + lateRequestMilliseconds;
  await Promise.all([
    runtimes.calls.drain(),
    runtimes.admission.drain(),
    new Promise<void>((resolve) => {
      environment.timers.at(lateRequestsEndAt, resolve);
    }),
  ]);
  const now = environment.clock.now();
  const refusal = createRefusal(
    RefusalReason.NodeDraining,
    Outcome.NotRun,
    { now },
  );
  await Promise.all([
    listeners.callers.close(formatRawCallerRefusal(refusal, { now })),
    listeners.nodes.close(formatRawNodeRefusal(refusal)),
  ]);
}

/** Waits for running calls to finish; resolves early at the deadline or when aborted. */
async function finishCallsBeforeDeadline(
  options: ShutDownOptions,
): Promise<void> {
  const { environment, deadline, aborted } = options;
  let timer: TimerHandle | undefined;
  const deadlinePassed = new Promise<void>((resolve) => {
    timer = environment.timers.at(deadline, resolve);
  });
  await Promise.race([finishCalls(options), deadlinePassed, aborted]);
  // A pending timer would keep the process alive until the deadline.
  timer?.cancel();
}

/**
 * Stops a node: running calls finish, the listeners close, and the distribution
 * then notifies the peers. Resolves with the number of calls aborted.
 */
export async function shutDown(options: ShutDownOptions): Promise<number> {
  const { runtimes, listeners } = options;
  await finishCallsBeforeDeadline(options);
  const abortedCalls = await runtimes.calls.stop();
  await Promise.race([runtimes.distribution.stop(), options.aborted]);
  runtimes.admission.stop();
  [listeners.callers, listeners.nodes, listeners.operators]
    .forEach((listener) => listener.destroy());
  await runtimes.closeClients();
  return abortedCalls;
}
