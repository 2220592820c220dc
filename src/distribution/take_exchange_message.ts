import { findPeerAddress } from "../peers/find_peer_address.ts";
import { mergeRecords } from "../peers/merge_records.ts";
import { mergeSightings } from "../peers/merge_sightings.ts";
import { notePeerAnswered } from "../peers/note_peer_answered.ts";
import { chainSteps } from "./chain_steps.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { ExchangeMessage } from "./exchange_message.ts";
import { notePlatformHeard } from "./note_platform_heard.ts";
import { noteStartupAnswer } from "./note_startup_answer.ts";
import { noteVersionOffered } from "./note_version_offered.ts";
import { stay } from "./stay.ts";
import { takeRefusal } from "./take_refusal.ts";
import type { Transition } from "./transition.ts";

/** Takes over what another node said in an exchange, whichever of the two began it. */
export function takeExchangeMessage(
  state: DistributionState,
  message: ExchangeMessage,
  context: DistributionContext,
): Transition {
  const { record, heldVersion } = message;
  if (record.vm === state.peers.own.vm) {
    // Sent by this node itself, through an address that leads back to it.
    return stay(state);
  }
  const source = record.vm;
  const merged = mergeSightings(
    mergeRecords(state.peers, [record, ...message.records]),
    message.sightings,
  );
  const address = findPeerAddress(merged, record);
  return chainSteps(state, [
    (current) =>
      stay({
        ...current,
        exchange: { ...current.exchange, heardAt: context.now },
        peers: notePeerAnswered(merged, address, {
          at: context.now,
          heldVersion,
        }),
      }),
    (current) =>
      stay(notePlatformHeard(current, {
        at: Math.min(message.platformHeardAt, context.now),
        context,
      })),
    (current) =>
      stay(noteStartupAnswer(current, {
        address,
        heldVersion,
      })),
    (current) => noteVersionOffered(current, { version: heldVersion, source }),
    (current) => takeRefusal(current, { notice: message.refusal, source }),
  ]);
}
