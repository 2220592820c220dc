import { choosePeers } from "../peers/choose_peers.ts";
import { formatAddress } from "../runtime/format_address.ts";
import { PeerCallPurpose } from "./peer_call_purpose.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { exchangeWithPeers } from "./exchange_with_peers.ts";
import { StartupQueryStatus } from "./startup_query_status.ts";
import type { Transition } from "./transition.ts";

const minQueryIntervalMilliseconds = 250;
const queryIntervalJitterMilliseconds = 250;

/**
 * Queries some of the peers that have not been queried yet, or whose query
 * failed, for the version that they store.
 */
export function queryStartupPeers(
  state: DistributionState,
  { now, random }: DistributionContext,
): Transition {
  const { startup } = state;
  const excluded = [...startup.answers]
    .filter(([, status]) => status !== StartupQueryStatus.Failed)
    .map(([key]) => key);
  const chosen = choosePeers(state.peers, {
    ownZone: distributionLimits.startupOwnZonePeers,
    otherZones: distributionLimits.startupOtherZonePeers,
    now,
    random,
    except: new Set(excluded),
  });
  const pending = chosen.map(({ address }) =>
    [formatAddress(address), StartupQueryStatus.Pending] as const
  );
  return exchangeWithPeers(
    {
      ...state,
      startup: {
        ...startup,
        answers: new Map([...startup.answers, ...pending]),
        nextQueryAt: now + minQueryIntervalMilliseconds +
          random.next() * queryIntervalJitterMilliseconds,
      },
    },
    chosen,
    { purpose: PeerCallPurpose.StartupQuery, now },
  );
}
