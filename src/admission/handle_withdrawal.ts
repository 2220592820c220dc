import type { AdmissionState } from "./admission_state.ts";

/** Removes a queued call whose caller left. */
export function handleWithdrawal(
  state: AdmissionState,
  callIdentifier: string,
): AdmissionState {
  return {
    ...state,
    queue: state.queue.filter((call) =>
      call.request.callIdentifier !== callIdentifier
    ),
  };
}
