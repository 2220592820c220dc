import { match, P } from "ts-pattern";
import type { LedgerEffect } from "../../src/calls/ledger_effect.ts";
import { LedgerEffectKind } from "../../src/calls/ledger_effect_kind.ts";
import type { LedgerEvent } from "../../src/calls/ledger_event.ts";
import type { LedgerStep } from "../../src/calls/ledger_step.ts";
import { stepLedger } from "../../src/calls/step_ledger.ts";
import { ledgerClockSkewMilliseconds } from "./ledger_clock_skew_milliseconds.ts";
import type { LedgerSimulation } from "./ledger_simulation.ts";

const keyLifetimeMilliseconds = 600_000;

/** Applies an event to the ledger of a node and the effects to the simulation; returns the effects. */
export function stepLedgerNode(
  simulation: LedgerSimulation,
  position: number,
  event: LedgerEvent,
): LedgerStep["effects"] {
  const node = simulation.nodes[position]!;
  const step = stepLedger(node.entry, event, {
    now: simulation.now + node.skewMilliseconds,
    ledgerSince: node.ledgerSince,
    keyLifetimeMilliseconds,
    clockSkewMilliseconds: ledgerClockSkewMilliseconds,
  });
  node.entry = step.entry;
  step.effects.forEach((effect) =>
    applyEffect(simulation, effect, { position, event })
  );
  return step.effects;
}

function applyEffect(
  simulation: LedgerSimulation,
  effect: LedgerEffect,
  cause: { readonly position: number; readonly event: LedgerEvent },
): void {
  const { position, event } = cause;
  const node = simulation.nodes[position]!;
  match(effect)
    .with({ kind: LedgerEffectKind.Query }, ({ server }) => {
      if ("attemptIdentifier" in event) {
        simulation.messages.push({
          querier: position,
          querierIncarnation: node.incarnation,
          queried: simulation.nodes.findIndex((other) =>
            other.server.name === server.name
          ),
          attemptIdentifier: event.attemptIdentifier,
          sentAt: simulation.now + node.skewMilliseconds,
          settlement: undefined,
        });
      }
    })
    .with({ kind: LedgerEffectKind.Allow }, ({ attemptIdentifier }) => {
      simulation.runs += 1;
      node.runningAttempt = attemptIdentifier;
    })
    .with(
      { kind: LedgerEffectKind.SendStoredAnswer },
      ({ attemptIdentifier }) =>
        void simulation.outcomes.set(attemptIdentifier, "answered"),
    )
    .with(
      { kind: LedgerEffectKind.Refuse },
      ({ attemptIdentifier, reason }) =>
        void simulation.outcomes.set(attemptIdentifier, reason),
    )
    .with(
      { kind: P.union(LedgerEffectKind.Join, LedgerEffectKind.Reply) },
      () => {},
    )
    .exhaustive();
}
