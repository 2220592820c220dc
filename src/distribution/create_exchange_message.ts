import { hashView } from "../peers/hash_view.ts";
import type { PeersState } from "../peers/peers_state.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { ExchangeMessage } from "./exchange_message.ts";
import { getAdvertisedConfiguration } from "./get_advertised_configuration.ts";

/** An exchange message, and the state after the message was created. */
interface CreatedExchangeMessage {
  readonly state: DistributionState;
  readonly message: ExchangeMessage;
}

/**
 * Creates this node's message in an exchange: its own record, and the changes
 * that it still has to pass on. `responseTo` is the message of the other node,
 * if that one started the exchange; a refusal that its `refusedContent` already
 * names is left out.
 */
export function createExchangeMessage(
  state: DistributionState,
  options: { readonly responseTo?: ExchangeMessage } = {},
): CreatedExchangeMessage {
  const { peers, versions } = state;
  const records = getVmsToSend(peers.remainingRecordSends).flatMap((vm) =>
    peers.records.get(vm) ?? []
  );
  const sightings = getVmsToSend(peers.remainingSightingSends).flatMap((vm) =>
    peers.sightings.get(vm) ?? []
  );
  const { refusal } = versions;
  const sendsRefusal = refusal !== undefined &&
    (options.responseTo === undefined
      ? versions.remainingRefusalSends > 0
      : options.responseTo.refusedContent !== refusal.contentDigest);
  return {
    message: {
      record: peers.own,
      heldVersion: getAdvertisedConfiguration(state)?.set.version,
      viewHash: hashView(peers),
      records,
      sightings,
      platformHeardAt: state.platform.heardAt,
      refusedContent: refusal?.contentDigest,
      refusal: sendsRefusal ? refusal : undefined,
    },
    state: {
      ...state,
      peers: decrementSends(peers, { records, sightings }),
      versions: sendsRefusal
        ? {
          ...versions,
          remainingRefusalSends: Math.max(
            0,
            versions.remainingRefusalSends - 1,
          ),
        }
        : versions,
    },
  };
}

function getVmsToSend(sends: ReadonlyMap<string, number>): readonly string[] {
  return [...sends.keys()].slice(0, distributionLimits.recordsPerMessage);
}

function decrementSends(
  peers: PeersState,
  sent: Pick<ExchangeMessage, "records" | "sightings">,
): PeersState {
  return {
    ...peers,
    remainingRecordSends: decrementRemaining(
      peers.remainingRecordSends,
      sent.records,
    ),
    remainingSightingSends: decrementRemaining(
      peers.remainingSightingSends,
      sent.sightings,
    ),
  };
}

function decrementRemaining(
  sends: ReadonlyMap<string, number>,
  sent: readonly { readonly vm: string }[],
): ReadonlyMap<string, number> {
  if (sent.length === 0) {
    return sends;
  }
  const sentVms = new Set(sent.map(({ vm }) => vm));
  return new Map(
    [...sends].flatMap(([vm, remaining]) =>
      !sentVms.has(vm)
        ? [[vm, remaining]]
        : remaining > 1
        ? [[vm, remaining - 1]]
        : []
    ),
  );
}
