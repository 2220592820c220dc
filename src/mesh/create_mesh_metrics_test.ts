import test from "ava";
import { ChoicePlace } from "../balancing/choice_place.ts";
import { ChoiceWay } from "../balancing/choice_way.ts";
import { CallEventKind } from "./call_event_kind.ts";
import { createMeshMetrics } from "./create_mesh_metrics.ts";

test("counters by reason, histograms by place, and gauges are rendered", async (t) => {
  const metrics = createMeshMetrics();
  metrics.observe({
    kind: CallEventKind.Refused,
    call: "a",
    reason: "full",
    outcome: "not-run",
  });
  metrics.observe({
    kind: CallEventKind.Exchanged,
    call: "b",
    outcome: "answered",
    waitedMilliseconds: 5,
    elapsedMilliseconds: 120,
  });
  metrics.observeChoice({
    way: ChoiceWay.Sample,
    place: ChoicePlace.OwnZone,
    reportAgeMilliseconds: 250,
  });
  const text = await metrics.render({
    rulesVersion: 7,
    sourceEra: 3,
    sourceSoundMilliseconds: -1,
    rulesAgeMilliseconds: 40,
    organisations: 2,
    feedFollowers: 2,
    offerConnections: 0,
    servedOfferConnections: 0,
    registeredServers: 12,
    zonesTakenOut: 0,
    running: 1,
    queued: 2,
    slots: 12,
    cold: true,
    callsPerSecondLimit: -1,
    leaving: false,
    open: false,
    callerCalls: 3,
    quotasOwned: 1,
    quotaOwnersUnreachable: 0,
    quarantinedRequests: 0,
    stopping: false,
  });
  t.regex(
    text,
    /catkinquay_call_events_total\{kind="call-refused",reason="full",outcome="not-run"\} 1/,
  );
  t.regex(
    text,
    /catkinquay_latency_milliseconds\{place="queue",quantile="0.5"\} 5/,
  );
  t.regex(
    text,
    /catkinquay_choices_total\{way="sample",place="own-zone"\} 1/,
  );
  t.regex(
    text,
    /catkinquay_latency_milliseconds\{place="load-report",quantile="0.5"\} 250/,
  );
  t.regex(text, /catkinquay_rules_version 7/);
  t.regex(text, /catkinquay_source_era 3/);
  t.regex(text, /catkinquay_source_sound_milliseconds -1/);
  t.regex(text, /catkinquay_cold 1/);
});
