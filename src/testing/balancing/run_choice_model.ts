import { getMeanAnswerMilliseconds } from "../../balancing/get_mean_answer_milliseconds.ts";
import { recordGateRefusal } from "../../balancing/record_gate_refusal.ts";
import { recordLoad } from "../../balancing/record_load.ts";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { getOrCreate } from "../../collections/get_or_create.ts";
import { createRandomSource } from "../../runtime/create_random_source.ts";
import type { ChoiceFigures } from "./choice_figures.ts";
import { choiceModelSettings } from "./choice_model_settings.ts";
import type { ChoiceRule } from "./choice_rule.ts";
import { createModelledCandidates } from "./create_modelled_candidates.ts";
import { createModelledServer } from "./create_modelled_server.ts";
import { drawPoissonCount } from "./draw_poisson_count.ts";
import { getModelledLoad } from "./get_modelled_load.ts";
import { getModelledStart } from "./get_modelled_start.ts";
import { getStandardDeviation } from "./get_standard_deviation.ts";
import type { ModelledServer } from "./modelled_server.ts";
import { runModelledCall } from "./run_modelled_call.ts";

interface ModelledCall {
  readonly arrivedAt: number;
  readonly now: number;
  /** When the gates that refused the call would have started it. */
  readonly refusals: ReadonlyMap<ModelledServer, number>;
}

const {
  slots,
  route,
  goalMilliseconds,
  durationMilliseconds,
  warmUpMilliseconds,
  reportAgeMilliseconds,
  reportGroups,
  offerMilliseconds,
} = choiceModelSettings;

/**
 * Runs 60 nodes, each beside one of 60 uneven backend servers, in virtual time.
 * Calls arrive at random; the reports that a node chooses by are 50 to 400 ms old.
 */
export function runChoiceModel(
  rule: ChoiceRule,
  { seed }: { readonly seed: number },
): ChoiceFigures {
  const random = createRandomSource(seed);
  const servers = Array.from(
    { length: choiceModelSettings.servers },
    (_, index) => createModelledServer(index),
  );
  const nodes = servers.map((own) => createModelledCandidates(servers, own));
  const callsPerMillisecond = choiceModelSettings.loadShare *
    servers.reduce((sum, { speed }) => sum + speed * slots, 0) /
    choiceModelSettings.usualMilliseconds;
  const byIdentifier = new Map(
    servers.map((server) => [server.entry.identifier, server]),
  );
  const events = new Map<number, (() => void)[]>();
  const counted: {
    readonly wait: number;
    readonly answer: number;
    readonly offers: number;
    readonly isOwn: boolean;
  }[] = [];
  let calls = 0;

  function schedule(instant: number, callback: () => void): void {
    getOrCreate(events, Math.ceil(instant), { create: () => [] })
      .push(callback);
  }

  function offerCall(own: ModelledServer, call: ModelledCall): void {
    const { now, refusals } = call;
    const server = chooseServer(own, call);
    const startsAt = server && getModelledStart(server, now);
    const isRefused = startsAt !== undefined &&
      startsAt - now > choiceModelSettings.waitMillisecondsMaximum &&
      refusals.size < choiceModelSettings.refusalsMaximum;
    if (server === undefined || !isRefused) {
      const [soonest] = [...refusals]
        .sort(([, left], [, right]) => left - right);
      const isSoon = startsAt !== undefined &&
        startsAt - now <= choiceModelSettings.waitMillisecondsMaximum;
      runCall(own, isSoon ? server! : soonest?.[0] ?? own, call);
      return;
    }
    const { view } = nodes[own.index]!.all[server.index]!;
    recordLoad(view, { load: getModelledLoad(server), now });
    recordGateRefusal(view, {
      reason: RefusalReason.Full,
      retryMilliseconds: startsAt - now,
      now,
    });
    const next = {
      ...call,
      now: now + offerMilliseconds,
      refusals: new Map([...refusals, [server, startsAt] as const]),
    };
    schedule(next.now, () => offerCall(own, next));
  }

  function chooseServer(
    own: ModelledServer,
    { now, refusals }: ModelledCall,
  ): ModelledServer | undefined {
    const candidates = nodes[own.index]!;
    const { serviceLoad } = candidates;
    const ownView = candidates.own!.view;
    ownView.load = getModelledLoad(own);
    ownView.loadReceivedAt = now;
    ownView.inFlightAtLoad = ownView.inFlight;
    const refusing = new Set([...refusals.keys()].map(({ entry }) => entry));
    const chosen = rule({
      candidates,
      context: {
        now,
        random,
        route,
        meanAnswerMilliseconds: getMeanAnswerMilliseconds(serviceLoad, {
          route,
          goalMilliseconds,
        }),
        goalMilliseconds,
        ownZone: own.entry.zone,
        answerBytes: 0,
      },
      own,
      servers,
      isUsable: ({ view, entry }) =>
        view.fullUntil <= now && !refusing.has(entry),
    });
    return chosen === undefined ? undefined : byIdentifier.get(chosen);
  }

  function runCall(
    own: ModelledServer,
    server: ModelledServer,
    { now, arrivedAt, refusals }: ModelledCall,
  ): void {
    calls += 1;
    const { startsAt, endsAt } = runModelledCall(server, {
      callIdentifier: String(calls),
      view: nodes[own.index]!.all[server.index]!.view,
      now,
      random,
      schedule,
    });
    if (now < warmUpMilliseconds) return;
    server.usedMilliseconds += endsAt - startsAt;
    counted.push({
      wait: startsAt - arrivedAt,
      answer: endsAt - arrivedAt,
      offers: refusals.size + 1,
      isOwn: server === own,
    });
  }

  function report(now: number): void {
    const turn = now / reportAgeMilliseconds % reportGroups;
    nodes.filter((_, index) => index % reportGroups === turn)
      .forEach(({ all }) =>
        all.forEach(({ view }, index) =>
          recordLoad(view, { load: servers[index]!.reported, now })
        )
      );
    servers.forEach((server) => {
      server.reported = getModelledLoad(server);
    });
  }

  // A loop, as each step depends on the state that the one before left.
  for (let now = 0; now < durationMilliseconds; now += 1) {
    if (now % reportAgeMilliseconds === 0) report(now);
    events.get(now)?.forEach((happen) => happen());
    events.delete(now);
    const arrivals = drawPoissonCount(callsPerMillisecond, random);
    Array.from({ length: arrivals }, () => {
      const own = servers[Math.floor(random.next() * servers.length)]!;
      offerCall(own, { arrivedAt: now, now, refusals: new Map() });
    });
  }
  const getPercentile99 = (values: readonly number[]) =>
    values.toSorted((left, right) => left - right)
      .at(Math.floor(values.length * 0.99)) ?? 0;
  const getShare = (isCounted: (call: typeof counted[number]) => boolean) =>
    counted.filter(isCounted).length / counted.length;
  return {
    waitPercentile99Milliseconds: getPercentile99(
      counted.map(({ wait }) => wait),
    ),
    answerPercentile99Milliseconds: getPercentile99(
      counted.map(({ answer }) => answer),
    ),
    lateShare: getShare(({ answer }) => answer > goalMilliseconds),
    useDeviation: getStandardDeviation(
      servers.map(({ usedMilliseconds }) =>
        usedMilliseconds / slots / (durationMilliseconds - warmUpMilliseconds)
      ),
    ),
    offersMean: counted.reduce((sum, { offers }) => sum + offers, 0) /
      counted.length,
    ownShare: getShare(({ isOwn }) => isOwn),
  };
}
