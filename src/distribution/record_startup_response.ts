import { isNewerVersion } from "../configuration/is_newer_version.ts";
import type { Version } from "../configuration/version.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { DistributionState } from "./distribution_state.ts";
import { StartupQueryStatus } from "./startup_query_status.ts";

/** Records, during the startup query, which version a peer stores. */
export function recordStartupResponse(
  state: DistributionState,
  report: {
    readonly address: NetworkAddress;
    readonly heldVersion: Version | undefined;
  },
): DistributionState {
  const { startup } = state;
  if (startup.isComplete) {
    return state;
  }
  const status = report.heldVersion === undefined
    ? StartupQueryStatus.HasNoVersion
    : StartupQueryStatus.HasVersion;
  return {
    ...state,
    startup: {
      ...startup,
      answers: new Map([
        ...startup.answers,
        [formatAddress(report.address), status],
      ]),
      minimumVersion: isNewerVersion(report.heldVersion, startup.minimumVersion)
        ? report.heldVersion
        : startup.minimumVersion,
    },
  };
}
