import test from "ava";
import fc from "fast-check";
import { match } from "ts-pattern";
import type { CallEffect } from "./call_effect.ts";
import { CallEffectKind } from "./call_effect_kind.ts";
import type { CallEvent } from "./call_event.ts";
import { CallEventKind } from "./call_event_kind.ts";
import { createCallState } from "./create_call_state.ts";
import { createDispatchState } from "./create_dispatch_state.ts";
import { createRefusal } from "./create_refusal.ts";
import type { DispatchEffect } from "./dispatch_effect.ts";
import { DispatchEffectKind } from "./dispatch_effect_kind.ts";
import type { DispatchEvent } from "./dispatch_event.ts";
import { DispatchEventKind } from "./dispatch_event_kind.ts";
import type { DispatchState } from "./dispatch_state.ts";
import { Outcome } from "./outcome.ts";
import { RefusalReason } from "./refusal_reason.ts";
import type { Settlement } from "./settlement.ts";
import { SettlementKind } from "./settlement_kind.ts";
import { stepCall } from "./step_call.ts";
import { stepDispatch } from "./step_dispatch.ts";

const seed = 20261204;
const deadline = 3000;
const servers = ["a", "b", "c"];
const answer = {
  head: { status: 200, headers: [], declaredLength: 0 },
  body: new Uint8Array(0),
};

enum CommandKind {
  /** The handed-over request reaches the other node. */
  Arrive = "arrive",
  Admit = "admit",
  RefuseAdmission = "refuse-admission",
  /** The backend server begins to run the call. */
  Begin = "begin",
  Answer = "answer",
  Shed = "shed",
  Break = "break",
  /** The connection between the nodes breaks for the node that took the call. */
  LoseContact = "lose-contact",
  /** The connection between the nodes breaks for the other node. */
  LoseReceiver = "lose-receiver",
  /** What the other node sent reaches the node that took the call. */
  Reply = "reply",
  Ask = "ask",
  ReplyToQuestion = "reply-to-question",
  LoseQuestion = "lose-question",
  Leave = "leave",
  Wait = "wait",
}

interface Command {
  readonly kind: CommandKind;
  readonly pick: number;
  readonly milliseconds: number;
}

/** One try: on its way, held by the other node, and at the backend server. */
interface Try {
  readonly server: string;
  readonly attempt: number;
  arrived: boolean;
  state: DispatchState | undefined;
  queued: boolean;
  dispatched: boolean;
  begun: boolean;
  admitted: number;
  reported: number;
  settlement: Settlement | undefined;
  reply: CallEvent | undefined;
  /** Whether the node that took the call still listens to this try. */
  current: boolean;
}

/** One call, the nodes beside three backend servers, and whatever happens between them. */
function createModel(options: { readonly idempotent: boolean }) {
  let now = 0;
  let state = createCallState({
    idempotent: options.idempotent,
    repeatsPossible: false,
    deadline,
  });
  const tries: Try[] = [];
  const ends: CallEffect[] = [];
  let question:
    | { readonly of: Try; answer: Settlement | undefined }
    | undefined;

  const apply = (event: CallEvent) => {
    const step = stepCall(state, event, { now, retryAllowed: true });
    state = step.state;
    step.effects.forEach(carryOut);
  };
  const carryOut = (effect: CallEffect) => {
    const last = tries.at(-1);
    match(effect.kind)
      .with(CallEffectKind.Try, () => {
        const excluded = effect.kind === CallEffectKind.Try
          ? effect.excluded
          : [];
        handOver(servers.filter((name) => !excluded.includes(name)));
      })
      .with(CallEffectKind.CancelTry, () => {
        if (last !== undefined) {
          last.current = false;
        }
      })
      .with(CallEffectKind.Settle, () => {
        question = { of: last!, answer: undefined };
      })
      .with(
        CallEffectKind.Refuse,
        CallEffectKind.SendAnswer,
        CallEffectKind.SendStoredAnswer,
        CallEffectKind.BreakCaller,
        CallEffectKind.Abandon,
        () => {
          ends.push(effect);
        },
      )
      .with(
        CallEffectKind.AvoidNode,
        CallEffectKind.StopAvoiding,
        CallEffectKind.RenewConnections,
        CallEffectKind.BeginStream,
        CallEffectKind.EndStream,
        CallEffectKind.SpendRetry,
        () => undefined,
      )
      .exhaustive();
  };
  const handOver = (eligible: readonly string[]) => {
    const server = eligible[tries.length % Math.max(1, eligible.length)];
    if (server === undefined) {
      apply({
        kind: CallEventKind.NoneChosen,
        refusal: createRefusal(RefusalReason.NoBackendServer, Outcome.NotRun, {
          now,
        }),
      });
      return;
    }
    tries.push({
      server,
      attempt: state.attempt,
      arrived: false,
      state: undefined,
      queued: false,
      dispatched: false,
      begun: false,
      admitted: 0,
      reported: 0,
      settlement: undefined,
      reply: undefined,
      current: true,
    });
    apply({ kind: CallEventKind.Sent, backendServer: server, remote: true });
  };
  const applyDispatch = (one: Try, event: DispatchEvent) => {
    if (one.state === undefined) {
      return;
    }
    const step = stepDispatch(one.state, event, { now });
    one.state = step.state;
    step.effects.forEach((effect) => carryOutDispatch(one, effect));
  };
  const carryOutDispatch = (one: Try, effect: DispatchEffect) =>
    match(effect)
      .with({ kind: DispatchEffectKind.RequestSlot }, () => {
        one.queued = true;
      })
      .with({ kind: DispatchEffectKind.WithdrawRequest }, () => {
        one.queued = false;
      })
      .with({ kind: DispatchEffectKind.Dispatch }, () => {
        one.dispatched = true;
      })
      .with({ kind: DispatchEffectKind.Report }, () => {
        one.reported += 1;
      })
      .with({ kind: DispatchEffectKind.Conclude }, ({ outcome }) => {
        one.settlement = outcome === SettlementKind.Finished
          ? { kind: outcome, answer }
          : { kind: outcome };
      })
      .with({ kind: DispatchEffectKind.Refuse }, ({ refusal }) => {
        one.reply = { kind: CallEventKind.Refused, refusal };
      })
      .with({ kind: DispatchEffectKind.SendAnswer }, () => {
        one.reply = { kind: CallEventKind.AnswerWhole };
      })
      .otherwise(() => undefined);
  const arrive = (one: Try) => {
    if (one.arrived) {
      return;
    }
    one.arrived = true;
    one.state = createDispatchState({
      idempotent: options.idempotent,
      keyed: false,
      deadline,
      now,
      remote: true,
    });
    applyDispatch(one, {
      kind: DispatchEventKind.Arrived,
      obstacle: one.settlement === undefined ? undefined : RefusalReason.Fenced,
    });
  };
  const admit = (one: Try) => {
    if (one.queued) {
      one.queued = false;
      one.admitted += 1;
      applyDispatch(one, { kind: DispatchEventKind.Admitted });
    }
  };
  const settle = () => {
    if (question === undefined || question.answer !== undefined) {
      return;
    }
    const one = question.of;
    if (one.arrived && one.settlement === undefined) {
      applyDispatch(one, { kind: DispatchEventKind.Asked });
      question.answer = { kind: SettlementKind.Running };
      return;
    }
    one.settlement ??= { kind: SettlementKind.NotRun };
    question.answer = one.settlement;
  };
  const run = (command: Command) => {
    const one = tries.at(-1 - command.pick % Math.max(1, tries.length));
    if (one === undefined) {
      return;
    }
    match(command.kind)
      .with(CommandKind.Arrive, () => arrive(one))
      .with(CommandKind.Admit, () => admit(one))
      .with(CommandKind.RefuseAdmission, () => {
        if (one.queued) {
          one.queued = false;
          applyDispatch(one, {
            kind: DispatchEventKind.AdmissionRefused,
            reason: RefusalReason.Full,
            retryAt: now,
          });
        }
      })
      .with(CommandKind.Begin, () => {
        one.begun ||= one.dispatched;
      })
      .with(CommandKind.Answer, () => {
        if (one.begun) {
          applyDispatch(one, {
            kind: DispatchEventKind.AnswerWhole,
            overloaded: false,
          });
        }
      })
      .with(CommandKind.Shed, () => {
        if (one.dispatched && !one.begun) {
          one.dispatched = false;
          applyDispatch(one, { kind: DispatchEventKind.Shed, retryAt: now });
        }
      })
      .with(CommandKind.Break, () => {
        if (one.dispatched) {
          applyDispatch(one, { kind: DispatchEventKind.Broken });
        }
      })
      .with(CommandKind.LoseContact, () => {
        if (one.current && one === tries.at(-1)) {
          one.current = false;
          apply({ kind: CallEventKind.ContactLost });
        }
      })
      .with(
        CommandKind.LoseReceiver,
        () => applyDispatch(one, { kind: DispatchEventKind.ContactLost }),
      )
      .with(CommandKind.Reply, () => {
        if (one.current && one.reply !== undefined && one === tries.at(-1)) {
          one.current = false;
          apply(one.reply);
        }
      })
      .with(CommandKind.Ask, settle)
      .with(CommandKind.ReplyToQuestion, () => {
        const settlement = question?.answer;
        if (settlement !== undefined) {
          question = undefined;
          apply({ kind: CallEventKind.Settled, settlement });
        }
      })
      .with(CommandKind.LoseQuestion, () => {
        if (question !== undefined) {
          question = undefined;
          apply({ kind: CallEventKind.SettlementFailed });
        }
      })
      .with(CommandKind.Leave, () => apply({ kind: CallEventKind.CallerLeft }))
      .with(CommandKind.Wait, () => {
        now += command.milliseconds;
        apply({ kind: CallEventKind.Woke });
        tries.forEach((held) =>
          applyDispatch(held, { kind: DispatchEventKind.Woke })
        );
      })
      .exhaustive();
  };
  /** Lets everything arrive and begin that still can. */
  const finish = () => {
    tries.forEach((one) => {
      arrive(one);
      admit(one);
      one.begun ||= one.dispatched;
    });
    now = deadline;
    tries.forEach((one) =>
      applyDispatch(one, { kind: DispatchEventKind.Woke })
    );
  };
  apply({ kind: CallEventKind.Started });
  return { run, finish, ends, tries };
}

const weights: Readonly<Record<CommandKind, number>> = {
  [CommandKind.Arrive]: 30,
  [CommandKind.Admit]: 16,
  [CommandKind.RefuseAdmission]: 16,
  [CommandKind.Begin]: 12,
  [CommandKind.Answer]: 16,
  [CommandKind.Shed]: 12,
  [CommandKind.Break]: 2,
  [CommandKind.LoseContact]: 6,
  [CommandKind.LoseReceiver]: 6,
  [CommandKind.Reply]: 30,
  [CommandKind.Ask]: 24,
  [CommandKind.ReplyToQuestion]: 24,
  [CommandKind.LoseQuestion]: 1,
  [CommandKind.Leave]: 1,
  [CommandKind.Wait]: 20,
};

// Without the bias towards short and repetitive lists, which seldom come to an end.
const commands = fc.noBias(fc.array(
  fc.record({
    kind: fc.oneof(
      ...Object.values(CommandKind).map((kind) => ({
        arbitrary: fc.constant(kind),
        weight: weights[kind],
      })),
    ),
    /** Counted from the last try. */
    pick: fc.constantFrom(0, 0, 0, 0, 0, 0, 1, 1, 2, 3),
    milliseconds: fc.constantFrom(20, 20, 20, 150, 150, 520),
  }),
  { minLength: 5, maxLength: 120, size: "max" },
));

function isNotRunRefusal(effect: CallEffect): boolean {
  return effect.kind === CallEffectKind.Refuse &&
    effect.refusal.outcome === Outcome.NotRun;
}

[false, true].forEach((idempotent) =>
  test(`a refusal as not run stays true, a call ends once, and slots are returned once (idempotent: ${idempotent})`, (t) => {
    let notRun = 0;
    let answered = 0;
    fc.assert(
      fc.property(commands, (list) => {
        const model = createModel({ idempotent });
        list.forEach(model.run);
        model.finish();
        const runs = model.tries.filter(({ begun }) => begun).length;
        const refusedAsNotRun = model.ends.some(isNotRunRefusal);
        notRun += refusedAsNotRun ? 1 : 0;
        answered += model.ends.some(({ kind }) =>
            kind === CallEffectKind.SendAnswer ||
            kind === CallEffectKind.SendStoredAnswer
          )
          ? 1
          : 0;
        return model.ends.length <= 1 &&
          (!refusedAsNotRun || runs === 0) &&
          (idempotent || runs <= 1) &&
          model.tries.every((one) =>
            one.reported === one.admitted
          );
      }),
      { seed, numRuns: 5000 },
    );
    // The model would prove nothing if calls seldom came to these ends.
    t.true(notRun > 20);
    t.true(answered > 150);
  })
);
