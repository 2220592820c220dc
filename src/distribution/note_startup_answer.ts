import { isNewerVersion } from "../configuration/is_newer_version.ts";
import type { Version } from "../configuration/version.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { DistributionState } from "./distribution_state.ts";
import { StartupAnswer } from "./startup_answer.ts";

/** Notes, while the node starts, which version a peer holds. */
export function noteStartupAnswer(
  state: DistributionState,
  heard: {
    readonly address: NetworkAddress;
    readonly heldVersion: Version | undefined;
  },
): DistributionState {
  const { startup } = state;
  if (startup.decided) {
    return state;
  }
  const answer = heard.heldVersion === undefined
    ? StartupAnswer.HoldsNone
    : StartupAnswer.HoldsVersion;
  return {
    ...state,
    startup: {
      ...startup,
      answers: new Map([
        ...startup.answers,
        [formatAddress(heard.address), answer],
      ]),
      floor: isNewerVersion(heard.heldVersion, startup.floor)
        ? heard.heldVersion
        : startup.floor,
    },
  };
}
