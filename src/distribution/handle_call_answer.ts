import { match } from "ts-pattern";
import { formatDiagnostic } from "../diagnostics/format_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { recordPeerAnswer } from "../peers/record_peer_answer.ts";
import { recordPeerIdentity } from "../peers/record_peer_identity.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import { chainSteps } from "./chain_steps.ts";
import type { DistributionAnswer } from "./distribution_answer.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { DistributionEffectKind } from "./distribution_effect_kind.ts";
import { DistributionMethod } from "./distribution_method.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { ExchangeMessage } from "./exchange_message.ts";
import { recordConfirmationAnswer } from "./record_confirmation_answer.ts";
import { recordStartupAnswer } from "./record_startup_answer.ts";
import { parseDistributionAnswer } from "./parse_distribution_answer.ts";
import type { PeerCall } from "./peer_call.ts";
import { startReconcile } from "./start_reconcile.ts";
import { createTransition } from "./create_transition.ts";
import { handleCallFailure } from "./handle_call_failure.ts";
import { handleExchangeMessage } from "./handle_exchange_message.ts";
import { handlePulledManifest } from "./handle_pulled_manifest.ts";
import { handlePulledParts } from "./handle_pulled_parts.ts";
import { handleReconcileAnswer } from "./handle_reconcile_answer.ts";
import { handleStoreAnswer } from "./handle_store_answer.ts";
import type { Transition } from "./transition.ts";

/**
 * Handles the answer of a peer. An invalid answer counts as a failure of the
 * call.
 */
export function handleCallAnswer(
  state: DistributionState,
  call: PeerCall,
  options: {
    readonly answer: unknown;
    readonly context: DistributionContext;
  },
): Transition {
  const { answer, context } = options;
  return parseDistributionAnswer(call.request.method, answer).match({
    Ok: (validAnswer) =>
      handleValidAnswer(state, call, { validAnswer, context }),
    Err: (reasons) =>
      chainSteps(state, [
        (current) => reportInvalidAnswer(current, call, reasons),
        (current) => handleCallFailure(current, call, context),
      ]),
  });
}

function handleValidAnswer(
  state: DistributionState,
  { address, purpose, request }: PeerCall,
  options: {
    readonly validAnswer: DistributionAnswer;
    readonly context: DistributionContext;
  },
): Transition {
  const { validAnswer, context } = options;
  return match(validAnswer)
    .with(
      { method: DistributionMethod.Exchange },
      ({ result }) =>
        chainSteps(state, [
          (current) => handleExchangeMessage(current, result, context),
          (current) =>
            createTransition(
              recordAnswerAtAddress(current, address, { result, context }),
            ),
          (current) =>
            createTransition(recordConfirmationAnswer(current, {
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
        createTransition(handleReconcileAnswer(state, result, context)),
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
          ? handleStoreAnswer(state, {
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
 * Records the answer under the address that was called, which may differ from
 * the address on which the node listens.
 */
function recordAnswerAtAddress(
  state: DistributionState,
  address: NetworkAddress,
  { result: { record, heldVersion }, context }: {
    readonly result: ExchangeMessage;
    readonly context: DistributionContext;
  },
): DistributionState {
  const peers = recordPeerAnswer(state.peers, address, {
    at: context.now,
    heldVersion,
  });
  return recordStartupAnswer({
    ...state,
    peers: recordPeerIdentity(peers, address, record),
  }, { address, heldVersion });
}

function reportInvalidAnswer(
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
      message: "Received an invalid answer from a peer",
    }],
  };
}
