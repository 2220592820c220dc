import { match, P } from "ts-pattern";
import type { CallEffect } from "../../src/calls/call_effect.ts";
import { CallEffectKind } from "../../src/calls/call_effect_kind.ts";
import type { CallEvent } from "../../src/calls/call_event.ts";
import { CallEventKind } from "../../src/calls/call_event_kind.ts";
import { createRefusal } from "../../src/calls/create_refusal.ts";
import { Outcome } from "../../src/calls/outcome.ts";
import { RefusalReason } from "../../src/calls/refusal_reason.ts";
import { stepCall } from "../../src/calls/step_call.ts";
import type { ForwardingSimulation } from "./forwarding_simulation.ts";

const backendServers = ["encomendas-1", "encomendas-2", "encomendas-3"];

/** Applies an event to the call at the node that received it, and the effects to the simulation. */
export function stepForwardedCall(
  simulation: ForwardingSimulation,
  event: CallEvent,
): void {
  const step = stepCall(simulation.call, event, {
    now: simulation.now,
    retryAllowed: true,
  });
  simulation.call = step.state;
  step.effects.forEach((effect) => applyEffect(simulation, effect));
}

function applyEffect(
  simulation: ForwardingSimulation,
  effect: CallEffect,
): void {
  match(effect)
    .with(
      { kind: CallEffectKind.StartAttempt },
      ({ attempt, excluded }) => startAttempt(simulation, attempt, excluded),
    )
    .with(
      { kind: CallEffectKind.Refuse },
      ({ refusal }) => recordOutcome(simulation, refusal.outcome),
    )
    .with({
      kind: P.union(
        CallEffectKind.SendAnswer,
        CallEffectKind.SendStoredAnswer,
        CallEffectKind.EndStream,
      ),
    }, () => recordOutcome(simulation, "answered"))
    .with(
      { kind: CallEffectKind.AbortResponse },
      () => recordOutcome(simulation, "broken"),
    )
    .with(
      { kind: CallEffectKind.Abandon },
      () => recordOutcome(simulation, "abandoned"),
    )
    .with({ kind: CallEffectKind.QueryOutcome }, () => {
      simulation.outcomeQueryPending = true;
    })
    .with({ kind: CallEffectKind.CancelAttempt }, () => {
      const current = simulation.attempts.at(-1);
      if (current !== undefined) {
        current.connected = false;
      }
    })
    .with({
      kind: P.union(
        CallEffectKind.AvoidNode,
        CallEffectKind.BeginStream,
        CallEffectKind.RenewConnections,
        CallEffectKind.StopAvoiding,
        CallEffectKind.SpendRetry,
      ),
    }, () => {})
    .exhaustive();
}

function recordOutcome(
  simulation: ForwardingSimulation,
  outcome: string,
): void {
  simulation.outcome = simulation.outcome === undefined
    ? outcome
    : `${simulation.outcome}, ${outcome}`;
}

function startAttempt(
  simulation: ForwardingSimulation,
  attemptNumber: number,
  excluded: readonly string[],
): void {
  const backendServer = backendServers.find((name) => !excluded.includes(name));
  if (backendServer === undefined) {
    stepForwardedCall(simulation, {
      kind: CallEventKind.NoCandidate,
      refusal: createRefusal(RefusalReason.NoBackendServer, Outcome.NotRun, {
        now: simulation.now,
      }),
    });
    return;
  }
  simulation.outcomeQueryPending = false;
  simulation.attempts.push({
    backendServer,
    attempt: attemptNumber,
    state: undefined,
    settlement: undefined,
    runs: 0,
    replies: [],
    connected: true,
  });
  stepForwardedCall(simulation, {
    kind: CallEventKind.Sent,
    backendServer,
    remote: true,
  });
}
