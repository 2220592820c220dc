import { DispatchPhase } from "./dispatch_phase.ts";
import type { DispatchState } from "./dispatch_state.ts";
import { signIntervalMilliseconds } from "./sign_interval_milliseconds.ts";

/** Returns the state of a try that has just arrived whole. */
export function createDispatchState(
  options: Pick<DispatchState, "idempotent" | "keyed" | "deadline"> & {
    readonly now: number;
    /** Whether the try came over a connection, which may go silent. */
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
    signAt: remote ? now + signIntervalMilliseconds : Infinity,
  };
}
