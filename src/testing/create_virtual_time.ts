import { setImmediate } from "node:timers/promises";
import type { VirtualTime } from "./virtual_time.ts";

interface VirtualTimer {
  readonly instant: number;
  readonly order: number;
  readonly callback: () => void;
}

/** Creates virtual time that starts at `startInstant` (milliseconds since the Unix epoch). */
export function createVirtualTime(startInstant: number): VirtualTime {
  let now = startInstant;
  let order = 0;
  const pending = new Set<VirtualTimer>();

  function findNextDueTimer(instant: number): VirtualTimer | undefined {
    return [...pending]
      .filter((timer) => timer.instant <= instant)
      .reduce<VirtualTimer | undefined>(
        (first, timer) =>
          first === undefined || isBefore(timer, first) ? timer : first,
        undefined,
      );
  }

  // Uses a loop, because each timer may set the next one and recursion would
  // retain a stack frame for each timer.
  async function advanceTo(instant: number): Promise<void> {
    await setImmediate();
    let timer = findNextDueTimer(instant);
    while (timer !== undefined) {
      pending.delete(timer);
      now = Math.max(now, timer.instant);
      timer.callback();
      await setImmediate();
      timer = findNextDueTimer(instant);
    }
    now = Math.max(now, instant);
  }

  return {
    clock: { now: () => now },
    timers: {
      at(instant, callback) {
        const timer = { instant, order: order++, callback };
        pending.add(timer);
        return { cancel: () => void pending.delete(timer) };
      },
    },
    advanceTo,
  };
}

function isBefore(left: VirtualTimer, right: VirtualTimer): boolean {
  return left.instant < right.instant ||
    (left.instant === right.instant && left.order < right.order);
}
