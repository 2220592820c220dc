import type { CallController } from "./call_controller.ts";

/** Creates a controller whose signal is not aborted. */
export function createCallController(): CallController {
  const listeners = new Set<() => void>();
  let aborted = false;
  return {
    signal: {
      get aborted() {
        return aborted;
      },
      addEventListener: (_type, listener) => {
        if (!aborted) listeners.add(listener);
      },
      removeEventListener: (_type, listener) => {
        listeners.delete(listener);
      },
    },
    abort: () => {
      aborted = true;
      const called = Array.from(listeners);
      listeners.clear();
      called.forEach((listener) => listener());
    },
  };
}
