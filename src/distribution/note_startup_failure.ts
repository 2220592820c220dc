import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { DistributionState } from "./distribution_state.ts";
import { StartupAnswer } from "./startup_answer.ts";

/** Notes that a peer did not answer the question of this starting node. */
export function noteStartupFailure(
  state: DistributionState,
  address: NetworkAddress,
): DistributionState {
  const { startup } = state;
  const key = formatAddress(address);
  return startup.answers.get(key) !== StartupAnswer.Pending ? state : {
    ...state,
    startup: {
      ...startup,
      answers: new Map([...startup.answers, [key, StartupAnswer.Failed]]),
    },
  };
}
