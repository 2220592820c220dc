import type { NodeEnvironment } from "../runtime/node_environment.ts";
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

function waitUntil(
  instant: number,
  environment: NodeEnvironment,
): Promise<void> {
  return new Promise((resolve) => {
    environment.timers.at(instant, resolve);
  });
}

async function finishCalls(options: ShutDownOptions): Promise<void> {
  const { runtimes, environment, listeners } = options;
  const lateArrivalsEnd = environment.clock.now() + lateArrivalMilliseconds;
  await Promise.all([
    runtimes.calls.drain(),
    runtimes.admission.drain(),
    waitUntil(lateArrivalsEnd, environment),
  ]);
  await listeners.callers.close();
  await listeners.nodes.close();
}

/**
 * Stops a node: calls finish first, then the listeners close, then the
 * distribution tells the peers. Resolves with the number of calls cut.
 */
export async function shutDown(options: ShutDownOptions): Promise<number> {
  const { runtimes, listeners, environment } = options;
  await Promise.race([
    finishCalls(options),
    waitUntil(options.deadline, environment),
    options.aborted,
  ]);
  const cut = await runtimes.calls.stop();
  await Promise.race([runtimes.distribution.stop(), options.aborted]);
  runtimes.admission.stop();
  [listeners.callers, listeners.nodes, listeners.operators]
    .forEach((listener) => listener.destroy());
  await runtimes.closeClients();
  return cut;
}
