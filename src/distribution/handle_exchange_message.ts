import { findPeerAddress } from "../peers/find_peer_address.ts";
import { mergeRecords } from "../peers/merge_records.ts";
import { mergeSightings } from "../peers/merge_sightings.ts";
import { recordPeerResponse } from "../peers/record_peer_response.ts";
import { chainSteps } from "./chain_steps.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { ExchangeMessage } from "./exchange_message.ts";
import { recordPlatformContact } from "./record_platform_contact.ts";
import { recordStartupResponse } from "./record_startup_response.ts";
import { recordVersionConflict } from "./record_version_conflict.ts";
import { createTransition } from "./create_transition.ts";
import { recordRefusal } from "./record_refusal.ts";
import type { Transition } from "./transition.ts";

/**
 * Handles the message of another node in an exchange, whichever of the two
 * started it.
 */
export function handleExchangeMessage(
  state: DistributionState,
  message: ExchangeMessage,
  context: DistributionContext,
): Transition {
  const { record, heldVersion } = message;
  if (record.vm === state.peers.own.vm) {
    // This node called itself through an address that leads back to it.
    return createTransition(state);
  }
  const source = record.vm;
  const merged = mergeSightings(
    mergeRecords(state.peers, [record, ...message.records]),
    message.sightings,
  );
  const address = findPeerAddress(merged, record);
  return chainSteps(state, [
    (current) =>
      createTransition({
        ...current,
        exchange: { ...current.exchange, heardAt: context.now },
        peers: recordPeerResponse(merged, address, {
          at: context.now,
          heldVersion,
        }),
      }),
    (current) =>
      createTransition(recordPlatformContact(current, {
        at: Math.min(message.platformHeardAt, context.now),
        context,
      })),
    (current) =>
      createTransition(recordStartupResponse(current, {
        address,
        heldVersion,
      })),
    (current) =>
      recordVersionConflict(current, { version: heldVersion, source }),
    (current) => recordRefusal(current, { notice: message.refusal, source }),
  ]);
}
