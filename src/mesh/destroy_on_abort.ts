import type { ClientRequest } from "node:http";
import { CallCancelledError } from "./call_cancelled_error.ts";
import type { CallSignal } from "./call_signal.ts";

/**
 * Destroys a request when `signal` is aborted. The `signal` option of a request
 * does the same with a listener on each of its streams, which costs more than
 * writing a short request.
 */
export function destroyOnAbort(
  request: ClientRequest,
  signal: CallSignal,
): void {
  const onAbort = () => request.destroy(new CallCancelledError());
  if (signal.aborted) {
    onAbort();
    return;
  }
  signal.addEventListener("abort", onAbort, { once: true });
  request.once("close", () => signal.removeEventListener("abort", onAbort));
}
