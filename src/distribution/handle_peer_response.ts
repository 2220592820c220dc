import { match } from "ts-pattern";
import { formatDiagnostic } from "../diagnostics/format_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { recordPeerResponse } from "../peers/record_peer_response.ts";
import { recordPeerIdentity } from "../peers/record_peer_identity.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import { chainSteps } from "./chain_steps.ts";
import type { DistributionResponse } from "./distribution_response.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { DistributionEffectKind } from "./distribution_effect_kind.ts";
import { DistributionMethod } from "./distribution_method.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { ExchangeMessage } from "./exchange_message.ts";
import { recordConfirmationResponse } from "./record_confirmation_response.ts";
import { recordStartupResponse } from "./record_startup_response.ts";
import { parseDistributionResponse } from "./parse_distribution_response.ts";
import type { PeerCall } from "./peer_call.ts";
import { startReconcile } from "./start_reconcile.ts";
import { createTransition } from "./create_transition.ts";
import { handlePeerCallFailure } from "./handle_peer_call_failure.ts";
import { handleExchangeMessage } from "./handle_exchange_message.ts";
import { handlePulledManifest } from "./handle_pulled_manifest.ts";
import { handlePulledParts } from "./handle_pulled_parts.ts";
import { handleReconcileResponse } from "./handle_reconcile_response.ts";
import { handleStoreResponse } from "./handle_store_response.ts";
import type { Transition } from "./transition.ts";

/**
 * Handles the response of a peer. An invalid response counts as a failure of
 * the call.
 */
export function handlePeerResponse(
  state: DistributionState,
  call: PeerCall,
  options: {
    /** The response as received, not validated. */
    readonly answer: unknown;
    readonly context: DistributionContext;
  },
): Transition {
  const { answer, context } = options;
  return parseDistributionResponse(call.request.method, answer).match({
    Ok: (validResponse) =>
      handleValidResponse(state, call, { validResponse, context }),
    Err: (reasons) =>
      chainSteps(state, [
        (current) => reportInvalidResponse(current, call, reasons),
        (current) => handlePeerCallFailure(current, call, context),
      ]),
  });
}

function handleValidResponse(
  state: DistributionState,
  { address, purpose, request }: PeerCall,
  options: {
    readonly validResponse: DistributionResponse;
    readonly context: DistributionContext;
  },
): Transition {
  const { validResponse, context } = options;
  return match(validResponse)
    .with(
      { method: DistributionMethod.Exchange },
      ({ result }) =>
        chainSteps(state, [
          (current) => handleExchangeMessage(current, result, context),
          (current) =>
            createTransition(
              recordResponseAtAddress(current, address, { result, context }),
            ),
          (current) =>
            createTransition(recordConfirmationResponse(current, {
              purpose,
              message: result,
              context,
            })),
          (current) =>
            startReconcile(current, {
              address,
              viewHash: result.viewHash,
            }, context),
        ]),
    )
    .with(
      { method: DistributionMethod.Reconcile },
      ({ result }) =>
        createTransition(handleReconcileResponse(state, result, context)),
    )
    .with(
      { method: DistributionMethod.ReadManifest },
      ({ result }) => handlePulledManifest(state, result.manifest, context),
    )
    .with(
      { method: DistributionMethod.ReadParts },
      ({ result }) => handlePulledParts(state, result.parts, context),
    )
    .with(
      { method: DistributionMethod.StoreVersion },
      ({ result }) =>
        request.method === DistributionMethod.StoreVersion
          ? handleStoreResponse(state, {
            address,
            manifest: request.parameters.manifest,
            missing: result.missing,
            now: context.now,
          })
          : createTransition(state),
    )
    .exhaustive();
}

/**
 * Records the response under the address that was called, which may differ from
 * the address on which the node listens.
 */
function recordResponseAtAddress(
  state: DistributionState,
  address: NetworkAddress,
  { result: { record, heldVersion }, context }: {
    readonly result: ExchangeMessage;
    readonly context: DistributionContext;
  },
): DistributionState {
  const peers = recordPeerResponse(state.peers, address, {
    at: context.now,
    heldVersion,
  });
  return recordStartupResponse({
    ...state,
    peers: recordPeerIdentity(peers, address, record),
  }, { address, heldVersion });
}

function reportInvalidResponse(
  state: DistributionState,
  call: PeerCall,
  reasons: readonly Diagnostic[],
): Transition {
  return {
    state,
    effects: [{
      kind: DistributionEffectKind.LogWarning,
      fields: {
        peer: call.address,
        method: call.request.method,
        reasons: reasons.map(formatDiagnostic),
      },
      message: "Received an invalid response from a peer",
    }],
  };
}
