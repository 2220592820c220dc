import { match, P } from "ts-pattern";
import type { LedgerEffect } from "../../src/calls/ledger_effect.ts";
import { LedgerEffectKind } from "../../src/calls/ledger_effect_kind.ts";
import type { LedgerEvent } from "../../src/calls/ledger_event.ts";
import type { LedgerStep } from "../../src/calls/ledger_step.ts";
import { stepLedger } from "../../src/calls/step_ledger.ts";
import { ledgerClockSkew } from "./ledger_clock_skew_milliseconds.ts";
import type { LedgerWorld } from "./ledger_simulation.ts";

const keyLifetimeMilliseconds = 600_000;

/** Feeds one event to the ledger of a node and carries out what it decides; returns the answer to a question. */
export function stepLedgerNode(
  world: LedgerWorld,
  position: number,
  event: LedgerEvent,
): LedgerStep["effects"] {
  const node = world.nodes[position]!;
  const step = stepLedger(node.entry, event, {
    now: world.now + node.skewMilliseconds,
    ledgerSince: node.ledgerSince,
    keyLifetimeMilliseconds,
    clockSkewMilliseconds: ledgerClockSkew,
  });
  node.entry = step.entry;
  step.effects.forEach((effect) =>
    carryOut(world, effect, { position, event })
  );
  return step.effects;
}

function carryOut(
  world: LedgerWorld,
  effect: LedgerEffect,
  cause: { readonly position: number; readonly event: LedgerEvent },
): void {
  const { position, event } = cause;
  const node = world.nodes[position]!;
  match(effect)
    .with({ kind: LedgerEffectKind.Ask }, ({ server }) => {
      if ("attemptIdentifier" in event) {
        world.messages.push({
          asker: position,
          askerIncarnation: node.incarnation,
          asked: world.nodes.findIndex((one) =>
            one.server.name === server.name
          ),
          attemptIdentifier: event.attemptIdentifier,
          sentAt: world.now + node.skewMilliseconds,
          settlement: undefined,
        });
      }
    })
    .with({ kind: LedgerEffectKind.Allow }, ({ attemptIdentifier }) => {
      world.runs += 1;
      node.runningAttempt = attemptIdentifier;
    })
    .with(
      { kind: LedgerEffectKind.AnswerWith },
      ({ attemptIdentifier }) =>
        void world.outcomes.set(attemptIdentifier, "answered"),
    )
    .with(
      { kind: LedgerEffectKind.Refuse },
      ({ attemptIdentifier, reason }) =>
        void world.outcomes.set(attemptIdentifier, reason),
    )
    .with(
      { kind: P.union(LedgerEffectKind.Join, LedgerEffectKind.Reply) },
      () => {},
    )
    .exhaustive();
}
