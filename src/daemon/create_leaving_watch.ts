import type { NodeEnvironment } from "../runtime/node_environment.ts";
import type { TimerHandle } from "../runtime/timer_handle.ts";
import type { LeavingWatch } from "./leaving_watch.ts";

const pollIntervalMilliseconds = 500;

/** Creates a loop that polls whether the platform lists this VM as leaving, and reports each change. */
export function createLeavingWatch(
  options: {
    readonly environment: NodeEnvironment;
    readonly isLeaving: () => boolean;
    readonly onChange: (leaving: boolean) => void;
  },
): LeavingWatch {
  const { clock, timers } = options.environment;
  let leaving = false;
  let timer: TimerHandle | undefined;

  function poll(): void {
    const current = options.isLeaving();
    if (current !== leaving) {
      leaving = current;
      options.onChange(current);
    }
    timer = timers.at(clock.now() + pollIntervalMilliseconds, poll);
  }

  return {
    start: poll,
    stop: () => timer?.cancel(),
  };
}
