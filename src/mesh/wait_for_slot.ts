import { RefusalReason } from "../calls/refusal_reason.ts";
import { cancelSlotRequest } from "../gate/cancel_slot_request.ts";
import type { CallSignal } from "./call_signal.ts";
import { createOfferRefusal } from "./create_offer_refusal.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { processWaitingCalls } from "./process_waiting_calls.ts";

/**
 * Waits until a queued call gets a slot or is refused. Resolves with undefined
 * if it gets a slot, otherwise with its refusal.
 */
export function waitForSlot(
  node: MeshNode,
  options: { readonly offerIdentifier: string; readonly signal: CallSignal },
): Promise<OfferOutcome | undefined> {
  const { offerIdentifier, signal } = options;
  const waiting = new Promise<OfferOutcome | undefined>((resolve) => {
    function onAbort(): void {
      node.slotWaiters.delete(offerIdentifier);
      cancelSlotRequest(node.gate, offerIdentifier);
      const reason = RefusalReason.CallerLeft;
      resolve(createOfferRefusal(node, { reason, retryMilliseconds: 0 }));
    }
    signal.addEventListener("abort", onAbort, { once: true });
    node.slotWaiters.set(offerIdentifier, {
      onGranted: () => {
        signal.removeEventListener("abort", onAbort);
        resolve(undefined);
      },
      onRefused: (reason, retryMilliseconds) => {
        signal.removeEventListener("abort", onAbort);
        resolve(createOfferRefusal(node, { reason, retryMilliseconds }));
      },
    });
  });
  // Schedules the timer that ends the wait.
  processWaitingCalls(node);
  return waiting;
}
