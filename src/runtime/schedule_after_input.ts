import type { TimerHandle } from "./timer_handle.ts";

/**
 * Runs `callback` after a delay in milliseconds, once the input that has arrived
 * by then was read. Timers run before sockets are read, so on an event loop that
 * was blocked a timeout would otherwise count although what it waits for has
 * arrived.
 */
export function scheduleAfterInput(
  delayMilliseconds: number,
  callback: () => void,
): TimerHandle {
  let immediate: NodeJS.Immediate | undefined;
  const timeout = setTimeout(() => {
    immediate = setImmediate(callback);
  }, delayMilliseconds);
  return {
    cancel: () => {
      clearTimeout(timeout);
      clearImmediate(immediate);
    },
  };
}
