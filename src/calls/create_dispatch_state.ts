import { DispatchPhase } from "./dispatch_phase.ts";
import type { DispatchState } from "./dispatch_state.ts";
import { interimResponseIntervalMilliseconds } from "./interim_response_interval_milliseconds.ts";

/** Returns the initial state of an attempt that was received completely. */
export function createDispatchState(
  options: Pick<DispatchState, "idempotent" | "keyed" | "deadline"> & {
    readonly now: number;
    /**
     * Whether the attempt was received over a network connection. Interim
     * responses are then sent, since the sender cannot otherwise tell a long
     * call from a silent connection.
     */
    readonly remote: boolean;
  },
): DispatchState {
  const { idempotent, keyed, deadline, now, remote } = options;
  return {
    phase: DispatchPhase.AwaitingLedger,
    idempotent,
    keyed,
    deadline,
    keySettled: false,
    joinsRun: false,
    dispatchedAt: 0,
    cancelAt: Infinity,
    interimResponseAt: remote
      ? now + interimResponseIntervalMilliseconds
      : Infinity,
  };
}
