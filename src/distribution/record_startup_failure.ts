import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { DistributionState } from "./distribution_state.ts";
import { StartupQueryStatus } from "./startup_query_status.ts";

/** Records that a peer did not respond to the startup query. */
export function recordStartupFailure(
  state: DistributionState,
  address: NetworkAddress,
): DistributionState {
  const { startup } = state;
  const key = formatAddress(address);
  return startup.answers.get(key) !== StartupQueryStatus.Pending ? state : {
    ...state,
    startup: {
      ...startup,
      answers: new Map([...startup.answers, [key, StartupQueryStatus.Failed]]),
    },
  };
}
