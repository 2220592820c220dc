import { createGateView } from "../../balancing/create_gate_view.ts";
import { createServiceCandidates } from "../../balancing/create_service_candidates.ts";
import { createServiceLoad } from "../../balancing/create_service_load.ts";
import { getMeanAnswerMilliseconds } from "../../balancing/get_mean_answer_milliseconds.ts";
import { recordAnswer } from "../../balancing/record_answer.ts";
import { recordGateRefusal } from "../../balancing/record_gate_refusal.ts";
import { recordLoad } from "../../balancing/record_load.ts";
import type { ServiceCandidates } from "../../balancing/service_candidates.ts";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { updateAverage } from "../../collections/update_average.ts";
import { getOrCreate } from "../../collections/get_or_create.ts";
import { createGateState } from "../../gate/create_gate_state.ts";
import { getRouteServiceMilliseconds } from "../../gate/get_route_service_milliseconds.ts";
import { occupySlot } from "../../gate/occupy_slot.ts";
import { createRandomSource } from "../../runtime/create_random_source.ts";
import type { RandomSource } from "../../runtime/random_source.ts";
import { createSampleOffer } from "../mesh/create_sample_offer.ts";
import { createSampleEntry } from "../mesh/create_sample_entry.ts";
import type { ChoiceFigures } from "./choice_figures.ts";
import type { ChoiceRule } from "./choice_rule.ts";
import { getServiceFactor } from "./get_service_factor.ts";
import type { ModelledServer } from "./modelled_server.ts";
import { usualMilliseconds } from "./usual_milliseconds.ts";

const serversTotal = 60;
const slots = 8;
const speedMinimum = 0.5;
const speedMaximum = 1.7;
/** Share of all capacity that calls use, spells of slowness aside. */
const loadShare = 0.65;
const goalMilliseconds = 150;
const durationMilliseconds = 6_000;
const warmUpMilliseconds = 1_500;
/** Reports reach a node so old, and the next one comes after `reportGroups` times that. */
const reportAgeMilliseconds = 50;
const reportGroups = 7;
/** A gate refuses a call that would wait for longer; the next offer follows after a moment. */
const waitMillisecondsMaximum = 0.12 * goalMilliseconds;
const offerMilliseconds = 1;
const refusalsMaximum = 6;
const route = "catalogo";

/**
 * Runs 60 nodes, each beside one of 60 uneven backend servers, in virtual time.
 * Calls arrive at random; the reports that a node chooses by are 50 to 400 ms old.
 */
export function runChoiceModel(
  rule: ChoiceRule,
  { seed }: { readonly seed: number },
): ChoiceFigures {
  const random = createRandomSource(seed);
  const servers = Array.from({ length: serversTotal }, createServer);
  const nodes = servers.map((own) => createNode(servers, own));
  const callsPerMillisecond = loadShare *
    servers.reduce((sum, { speed }) => sum + speed * slots, 0) /
    usualMilliseconds;
  const byIdentifier = new Map(
    servers.map((server) => [server.entry.identifier, server]),
  );
  const events = new Map<number, (() => void)[]>();
  const waits: number[] = [];
  const answers: number[] = [];
  let calls = 0;
  let offers = 0;
  let ownCalls = 0;

  function sendCall(arrivedAt: number): void {
    const own = servers[Math.floor(random.next() * serversTotal)]!;
    offerCall(own, { arrivedAt, now: arrivedAt, refusals: new Map() });
  }

  function offerCall(
    own: ModelledServer,
    call: {
      readonly arrivedAt: number;
      readonly now: number;
      /** When the gates that refused the call would have started it. */
      readonly refusals: ReadonlyMap<ModelledServer, number>;
    },
  ): void {
    const { now, refusals } = call;
    const server = chooseServer(own, call);
    const startsAt = server === undefined
      ? Number.POSITIVE_INFINITY
      : getStart(server, now);
    const isLast = refusals.size >= refusalsMaximum || server === undefined;
    if (!isLast && startsAt - now > waitMillisecondsMaximum) {
      const { view } = nodes[own.index]!.all[server.index]!;
      recordLoad(view, { load: getLoad(server), now });
      recordGateRefusal(view, {
        reason: RefusalReason.Full,
        retryMilliseconds: startsAt - now,
        now,
      });
      schedule(now + offerMilliseconds, () =>
        offerCall(own, {
          ...call,
          now: now + offerMilliseconds,
          refusals: new Map([...refusals, [server, startsAt]]),
        }));
      return;
    }
    const [soonest] = [...refusals].sort(([, left], [, right]) => left - right);
    runCall(own, isLast ? soonest?.[0] ?? server ?? own : server, call);
  }

  function chooseServer(
    own: ModelledServer,
    { now, refusals }: {
      readonly now: number;
      readonly refusals: ReadonlyMap<ModelledServer, number>;
    },
  ): ModelledServer | undefined {
    const candidates = nodes[own.index]!;
    const { view: ownView } = candidates.own!;
    ownView.load = getLoad(own);
    ownView.loadReceivedAt = now;
    ownView.inFlightAtLoad = ownView.inFlight;
    const context = {
      now,
      random,
      route,
      meanAnswerMilliseconds: getMeanAnswerMilliseconds(
        candidates.serviceLoad,
        { route, goalMilliseconds },
      ),
      goalMilliseconds,
      ownZone: own.entry.zone,
      answerBytes: 5_000,
    };
    const refusing = new Set([...refusals.keys()].map(({ entry }) => entry));
    const chosen = rule({
      candidates,
      context,
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
    call: {
      readonly arrivedAt: number;
      readonly now: number;
      readonly refusals: ReadonlyMap<ModelledServer, number>;
    },
  ): void {
    const { now, arrivedAt, refusals } = call;
    const { view } = nodes[own.index]!.all[server.index]!;
    const startsAt = getStart(server, now);
    const serviceMilliseconds = usualMilliseconds / server.speed *
      getServiceFactor(server.index, startsAt) * (0.5 + random.next());
    const endsAt = startsAt + serviceMilliseconds;
    server.freeAt[server.freeAt.indexOf(Math.min(...server.freeAt))] = endsAt;
    view.inFlight += 1;
    calls += 1;
    occupy(server, String(calls));
    schedule(endsAt, () => {
      view.inFlight -= 1;
      release(server);
      const milliseconds = recordService(server, serviceMilliseconds);
      if (view.load !== undefined) {
        view.load = { ...view.load, routeService: { route, milliseconds } };
      }
      recordAnswer(view, {
        route,
        elapsedMilliseconds: endsAt - now,
        failed: false,
        now: endsAt,
      });
    });
    if (now < warmUpMilliseconds) return;
    waits.push(startsAt - arrivedAt);
    answers.push(endsAt - arrivedAt);
    offers += refusals.size + 1;
    server.usedMilliseconds += serviceMilliseconds;
    if (server === own) ownCalls += 1;
  }

  function schedule(instant: number, callback: () => void): void {
    getOrCreate(events, Math.ceil(instant), { create: () => [] })
      .push(callback);
  }

  function report(now: number): void {
    const turn = now / reportAgeMilliseconds % reportGroups;
    nodes.filter((_, index) => index % reportGroups === turn)
      .forEach(({ all }) =>
        all.forEach(({ view }, index) =>
          recordLoad(view, {
            load: { ...servers[index]!.reported, slots, cold: false },
            now,
          })
        )
      );
    servers.forEach((server) => {
      server.reported = getLoad(server);
    });
  }

  // A loop, as each step depends on the state that the one before left.
  for (let now = 0; now < durationMilliseconds; now += 1) {
    if (now % reportAgeMilliseconds === 0) report(now);
    events.get(now)?.forEach((happen) => happen());
    events.delete(now);
    Array.from(
      { length: drawCount(callsPerMillisecond, random) },
      () => sendCall(now),
    );
  }
  return {
    waitPercentile99: getPercentile99(waits),
    answerPercentile99: getPercentile99(answers),
    lateShare: answers.filter((answer) => answer > goalMilliseconds).length /
      answers.length,
    useDeviation: getDeviation(
      servers.map(({ usedMilliseconds }) =>
        usedMilliseconds / slots / (durationMilliseconds - warmUpMilliseconds)
      ),
    ),
    offersMean: offers / waits.length,
    ownShare: ownCalls / waits.length,
  };
}

function getStart({ freeAt }: ModelledServer, now: number): number {
  return Math.max(now, Math.min(...freeAt));
}

/** Returns the average that the node of the backend server reports. */
function recordService({ gate }: ModelledServer, newest: number): number {
  updateAverage(gate.serviceMillisecondsByRoute, route, {
    newest,
    weight: 0.1,
  });
  return getRouteServiceMilliseconds(gate, route);
}

function createServer(_: unknown, index: number): ModelledServer {
  const gate = createGateState(0, new Map());
  gate.slots = slots;
  const share = index / (serversTotal - 1);
  return {
    index,
    entry: createSampleEntry({ identifier: `server-${index}`, slots }),
    speed: speedMinimum + (speedMaximum - speedMinimum) * share,
    gate,
    freeAt: Array.from({ length: slots }, () => 0),
    usedMilliseconds: 0,
    reported: { running: 0, queued: 0 },
  };
}

function createNode(
  servers: readonly ModelledServer[],
  own: ModelledServer,
): ServiceCandidates {
  const serviceLoad = createServiceLoad();
  return createServiceCandidates(
    servers.map(({ entry }) => ({
      entry,
      view: createGateView(serviceLoad),
      isRemoved: false,
    })),
    {
      ownZone: own.entry.zone,
      isOwn: ({ entry }) => entry === own.entry,
      serviceLoad,
    },
  );
}

function getLoad({ gate }: ModelledServer) {
  const { running, queue } = gate;
  return { running: running.size, queued: queue.length, slots, cold: false };
}

/** Each call is added under a new identifier; which of them ends does not matter here. */
function occupy({ gate }: ModelledServer, callIdentifier: string): void {
  const request = { ...createSampleOffer(callIdentifier, { now: 0 }), route };
  const queued = {
    request: { ...request, getFingerprint: () => callIdentifier },
    queuedAt: 0,
  };
  if (gate.running.size >= gate.slots) gate.queue.push(queued);
  else occupySlot(gate, { request: queued.request, now: 0 });
}

function release({ gate }: ModelledServer): void {
  const [first] = gate.running.keys();
  if (first !== undefined) gate.running.delete(first);
  const next = gate.queue.shift();
  if (next !== undefined) occupySlot(gate, { request: next.request, now: 0 });
}

function drawCount(mean: number, random: RandomSource): number {
  const limit = Math.exp(-mean);
  const multiply = (product: number, count: number): number =>
    product <= limit ? count : multiply(product * random.next(), count + 1);
  return multiply(random.next(), 0);
}

function getPercentile99(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor(sorted.length * 0.99)] ?? 0;
}

function getDeviation(values: readonly number[]): number {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  return Math.sqrt(squares / values.length);
}
