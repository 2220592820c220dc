import { hashView } from "../peers/hash_view.ts";
import type { PeersState } from "../peers/peers_state.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { ExchangeMessage } from "./exchange_message.ts";
import { getOfferedConfiguration } from "./get_offered_configuration.ts";

/** What a node says in an exchange, and its state after having said it. */
interface SpokenExchange {
  readonly state: DistributionState;
  readonly message: ExchangeMessage;
}

/**
 * Creates what this node says in an exchange: its own record, and changes that
 * it has passed on only a few times yet. `refusedContent` is what the other
 * side says that it knows to be refused, where it has said so.
 */
export function createExchangeMessage(
  state: DistributionState,
  options: { readonly answerTo?: ExchangeMessage } = {},
): SpokenExchange {
  const { peers, versions } = state;
  const records = takeSome(peers.recordSends).flatMap((vm) =>
    peers.records.get(vm) ?? []
  );
  const sightings = takeSome(peers.sightingSends).flatMap((vm) =>
    peers.sightings.get(vm) ?? []
  );
  const { refusal } = versions;
  const sendsRefusal = refusal !== undefined &&
    (options.answerTo === undefined
      ? versions.refusalSends > 0
      : options.answerTo.refusedContent !== refusal.contentDigest);
  return {
    message: {
      record: peers.own,
      heldVersion: getOfferedConfiguration(state)?.set.version,
      viewHash: hashView(peers),
      records,
      sightings,
      platformHeardAt: state.platform.heardAt,
      refusedContent: refusal?.contentDigest,
      refusal: sendsRefusal ? refusal : undefined,
    },
    state: {
      ...state,
      peers: countSends(peers, { records, sightings }),
      versions: sendsRefusal
        ? {
          ...versions,
          refusalSends: Math.max(0, versions.refusalSends - 1),
        }
        : versions,
    },
  };
}

function takeSome(sends: ReadonlyMap<string, number>): readonly string[] {
  return [...sends.keys()].slice(0, distributionLimits.recordsPerMessage);
}

function countSends(
  peers: PeersState,
  sent: Pick<ExchangeMessage, "records" | "sightings">,
): PeersState {
  return {
    ...peers,
    recordSends: countDown(peers.recordSends, sent.records),
    sightingSends: countDown(peers.sightingSends, sent.sightings),
  };
}

function countDown(
  sends: ReadonlyMap<string, number>,
  sent: readonly { readonly vm: string }[],
): ReadonlyMap<string, number> {
  if (sent.length === 0) {
    return sends;
  }
  const names = new Set(sent.map(({ vm }) => vm));
  return new Map(
    [...sends].flatMap(([vm, left]) =>
      !names.has(vm) ? [[vm, left]] : left > 1 ? [[vm, left - 1]] : []
    ),
  );
}
