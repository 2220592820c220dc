import { match, P } from "ts-pattern";
import type { CallEffect } from "../../src/calls/call_effect.ts";
import { CallEffectKind } from "../../src/calls/call_effect_kind.ts";
import type { CallEvent } from "../../src/calls/call_event.ts";
import { CallEventKind } from "../../src/calls/call_event_kind.ts";
import { createRefusal } from "../../src/calls/create_refusal.ts";
import { Outcome } from "../../src/calls/outcome.ts";
import { RefusalReason } from "../../src/calls/refusal_reason.ts";
import { stepCall } from "../../src/calls/step_call.ts";
import type { HandoverWorld } from "./forwarding_simulation.ts";

const backendServers = ["encomendas-1", "encomendas-2", "encomendas-3"];

/** Feeds one event to the node that took the call and carries out what it decides. */
export function stepHandoverCall(world: HandoverWorld, event: CallEvent): void {
  const step = stepCall(world.call, event, {
    now: world.now,
    retryAllowed: true,
  });
  world.call = step.state;
  step.effects.forEach((effect) => carryOut(world, effect));
}

function carryOut(world: HandoverWorld, effect: CallEffect): void {
  match(effect)
    .with(
      { kind: CallEffectKind.Try },
      ({ attempt, excluded }) => tryAt(world, attempt, excluded),
    )
    .with(
      { kind: CallEffectKind.Refuse },
      ({ refusal }) => tell(world, refusal.outcome),
    )
    .with({
      kind: P.union(
        CallEffectKind.SendAnswer,
        CallEffectKind.SendStoredAnswer,
        CallEffectKind.EndStream,
      ),
    }, () => tell(world, "answered"))
    .with({ kind: CallEffectKind.BreakCaller }, () => tell(world, "broken"))
    .with({ kind: CallEffectKind.Abandon }, () => tell(world, "abandoned"))
    .with({ kind: CallEffectKind.Settle }, () => {
      world.questionOpen = true;
    })
    .with({ kind: CallEffectKind.CancelTry }, () => {
      const current = world.tries.at(-1);
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

function tell(world: HandoverWorld, outcome: string): void {
  world.told = world.told === undefined ? outcome : `${world.told}, ${outcome}`;
}

function tryAt(
  world: HandoverWorld,
  attempt: number,
  excluded: readonly string[],
): void {
  const backendServer = backendServers.find((name) => !excluded.includes(name));
  if (backendServer === undefined) {
    stepHandoverCall(world, {
      kind: CallEventKind.NoneChosen,
      refusal: createRefusal(RefusalReason.NoBackendServer, Outcome.NotRun, {
        now: world.now,
      }),
    });
    return;
  }
  world.questionOpen = false;
  world.tries.push({
    backendServer,
    attempt,
    state: undefined,
    settlement: undefined,
    runs: 0,
    replies: [],
    connected: true,
  });
  stepHandoverCall(world, {
    kind: CallEventKind.Sent,
    backendServer,
    remote: true,
  });
}
