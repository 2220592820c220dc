import { match } from "ts-pattern";
import { formatDiagnostic } from "../diagnostics/format_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { notePeerAnswered } from "../peers/note_peer_answered.ts";
import { notePeerIdentity } from "../peers/note_peer_identity.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import { chainSteps } from "./chain_steps.ts";
import type { DistributionAnswer } from "./distribution_answer.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { DistributionEffectKind } from "./distribution_effect_kind.ts";
import { DistributionMethod } from "./distribution_method.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { ExchangeMessage } from "./exchange_message.ts";
import { noteConfirmationAnswer } from "./note_confirmation_answer.ts";
import { noteStartupAnswer } from "./note_startup_answer.ts";
import { parseDistributionAnswer } from "./parse_distribution_answer.ts";
import type { PeerCall } from "./peer_call.ts";
import { startReconcile } from "./start_reconcile.ts";
import { stay } from "./stay.ts";
import { takeCallFailure } from "./take_call_failure.ts";
import { takeExchangeMessage } from "./take_exchange_message.ts";
import { takePulledManifest } from "./take_pulled_manifest.ts";
import { takePulledParts } from "./take_pulled_parts.ts";
import { takeReconcileAnswer } from "./take_reconcile_answer.ts";
import { takeStoreAnswer } from "./take_store_answer.ts";
import type { Transition } from "./transition.ts";

/** Takes the answer of a peer; a broken one counts as a failure of the call. */
export function takeCallAnswer(
  state: DistributionState,
  call: PeerCall,
  options: {
    readonly answer: unknown;
    readonly context: DistributionContext;
  },
): Transition {
  const { answer, context } = options;
  return parseDistributionAnswer(call.request.method, answer).match({
    Ok: (checked) => takeCheckedAnswer(state, call, { checked, context }),
    Err: (reasons) =>
      chainSteps(state, [
        (current) => reportBrokenAnswer(current, call, reasons),
        (current) => takeCallFailure(current, call, context),
      ]),
  });
}

function takeCheckedAnswer(
  state: DistributionState,
  { address, purpose, request }: PeerCall,
  options: {
    readonly checked: DistributionAnswer;
    readonly context: DistributionContext;
  },
): Transition {
  const { checked, context } = options;
  return match(checked)
    .with(
      { method: DistributionMethod.Exchange },
      ({ result }) =>
        chainSteps(state, [
          (current) => takeExchangeMessage(current, result, context),
          (current) =>
            stay(noteAnswerAt(current, address, { result, context })),
          (current) =>
            stay(noteConfirmationAnswer(current, {
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
      ({ result }) => stay(takeReconcileAnswer(state, result, context)),
    )
    .with(
      { method: DistributionMethod.ReadManifest },
      ({ result }) => takePulledManifest(state, result.manifest, context),
    )
    .with(
      { method: DistributionMethod.ReadParts },
      ({ result }) => takePulledParts(state, result.parts, context),
    )
    .with(
      { method: DistributionMethod.StoreVersion },
      ({ result }) =>
        request.method === DistributionMethod.StoreVersion
          ? takeStoreAnswer(state, {
            address,
            manifest: request.parameters.manifest,
            missing: result.missing,
            now: context.now,
          })
          : stay(state),
    )
    .exhaustive();
}

/** The node may listen on another address than the one that was called. */
function noteAnswerAt(
  state: DistributionState,
  address: NetworkAddress,
  { result: { record, heldVersion }, context }: {
    readonly result: ExchangeMessage;
    readonly context: DistributionContext;
  },
): DistributionState {
  const peers = notePeerAnswered(state.peers, address, {
    at: context.now,
    heldVersion,
  });
  return noteStartupAnswer({
    ...state,
    peers: notePeerIdentity(peers, address, record),
  }, { address, heldVersion });
}

function reportBrokenAnswer(
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
      message: "A peer gave a broken answer",
    }],
  };
}
