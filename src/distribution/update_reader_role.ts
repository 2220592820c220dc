import { NodeState } from "../peers/node_state.ts";
import type { PeersState } from "../peers/peers_state.ts";
import { rankByRendezvous } from "../peers/rank_by_rendezvous.ts";
import { VmState } from "../platform/vm_state.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { getFallbackReadInstant } from "./get_fallback_read_instant.ts";

const unreachablePeerFailures = 2;
const firstReadJitterMilliseconds = 300;

/**
 * Updates whether this node is one of the nodes of its zone that read the
 * platform.
 */
export function updateReaderRole(
  state: DistributionState,
  { now, random }: DistributionContext,
): DistributionState {
  const { platform } = state;
  const isReader = isZoneReader(state.peers);
  if (isReader === platform.isReader) {
    return state;
  }
  const nextReadAt = isReader
    ? now + random.next() * firstReadJitterMilliseconds
    : getFallbackReadInstant(state, { heardAt: now, random });
  return {
    ...state,
    platform: {
      ...platform,
      isReader,
      nextReadAt: platform.isReading ? platform.nextReadAt : nextReadAt,
    },
  };
}

/**
 * Whether this node is a reader of its zone. Nodes of a zone that have the same
 * VM list agree on the readers; an additional reader is harmless.
 */
function isZoneReader(peers: PeersState): boolean {
  const { own, listedVms } = peers;
  if (listedVms === undefined) {
    return false;
  }
  const candidates = [...listedVms.values()]
    .filter((entry) =>
      entry.zone === own.zone && entry.state === VmState.Live &&
      entry.vm !== own.vm && isEligible(peers, entry)
    )
    .map(({ vm }) => vm);
  return rankByRendezvous(`reader/${own.zone}`, [...candidates, own.vm])
    .slice(0, distributionLimits.readersPerZone)
    .includes(own.vm);
}

function isEligible(
  { records, known }: PeersState,
  entry: {
    readonly vm: string;
    readonly nodeAddress: PeersState["own"]["nodeAddress"];
  },
): boolean {
  const failures = known.get(formatAddress(entry.nodeAddress))?.failures ?? 0;
  return failures < unreachablePeerFailures &&
    records.get(entry.vm)?.state !== NodeState.Draining;
}
