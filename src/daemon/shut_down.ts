import { createRefusal } from "../calls/create_refusal.ts";
import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import type { NodeEnvironment } from "../runtime/node_environment.ts";
import type { TimerHandle } from "../runtime/timer_handle.ts";
import { formatRawNodeRefusal } from "./format_raw_node_refusal.ts";
import { formatRawRefusal } from "./format_raw_refusal.ts";
import type { NodeListeners } from "./node_listeners.ts";
import type { NodeRuntimes } from "./node_runtimes.ts";

/** How long a stopping node goes on answering late arrivals with a refusal. */
const lateArrivalMilliseconds = 500;

/** What a shutdown works on. */
interface ShutDownOptions {
  readonly runtimes: NodeRuntimes;
  readonly listeners: NodeListeners;
  readonly environment: NodeEnvironment;
  /** When running calls are cut, in milliseconds since the Unix epoch. */
  readonly deadline: number;
  /** Resolves when the shutdown must end at once. */
  readonly aborted: Promise<void>;
}

async function finishCalls(options: ShutDownOptions): Promise<void> {
  const { runtimes, environment, listeners } = options;
  const lateArrivalsEnd = environment.clock.now() + lateArrivalMilliseconds;
  await Promise.all([
    runtimes.calls.drain(),
    runtimes.admission.drain(),
    new Promise<void>((resolve) => {
      environment.timers.at(lateArrivalsEnd, resolve);
    }),
  ]);
  const now = environment.clock.now();
  const refusal = createRefusal(
    RefusalReason.NodeDraining,
    Outcome.NotRun,
    { now },
  );
  await Promise.all([
    listeners.callers.close(formatRawRefusal(refusal, { now })),
    listeners.nodes.close(formatRawNodeRefusal(refusal)),
  ]);
}

/** Finishes the calls; resolves early at the deadline or when aborted. */
async function finishCallsInTime(options: ShutDownOptions): Promise<void> {
  const { environment, deadline, aborted } = options;
  let timer: TimerHandle | undefined;
  const deadlinePassed = new Promise<void>((resolve) => {
    timer = environment.timers.at(deadline, resolve);
  });
  await Promise.race([finishCalls(options), deadlinePassed, aborted]);
  // A timer that is left over would keep the process alive until the deadline.
  timer?.cancel();
}

/**
 * Stops a node: calls finish first, then the listeners close, then the
 * distribution tells the peers. Resolves with the number of calls cut.
 */
export async function shutDown(options: ShutDownOptions): Promise<number> {
  const { runtimes, listeners } = options;
  await finishCallsInTime(options);
  const cut = await runtimes.calls.stop();
  await Promise.race([runtimes.distribution.stop(), options.aborted]);
  runtimes.admission.stop();
  [listeners.callers, listeners.nodes, listeners.operators]
    .forEach((listener) => listener.destroy());
  await runtimes.closeClients();
  return cut;
}
