import { Result } from "true-myth";
import { authenticateCaller } from "../../mesh/authenticate_caller.ts";
import { createMeshNode } from "../../mesh/create_mesh_node.ts";
import { followMeshSource } from "../../mesh/follow_mesh_source.ts";
import { createRandomSource } from "../../runtime/create_random_source.ts";
import type { SourceBounds } from "../../source/source_bounds.ts";
import type { SourceClient } from "../../source/source_client.ts";
import type { SourceFailure } from "../../source/source_failure.ts";
import { SourceFailureKind } from "../../source/source_failure_kind.ts";
import type { SourceReading } from "../../source/source_reading.ts";
import { SourceValueKind } from "../../source/source_value_kind.ts";
import { createVirtualTime } from "../create_virtual_time.ts";
import { createSampleOrganisation } from "./create_sample_organisation.ts";
import { createSampleRoute } from "./create_sample_route.ts";
import { createSampleRules } from "./create_sample_rules.ts";
import { createSampleSettings } from "./create_sample_settings.ts";
import type { KeyStage } from "./key_stage.ts";
import { testDialect } from "./test_dialect.ts";

const startsAt = 1_000_000;
const key = "bakery-key";
const route = createSampleRoute({ name: "cakes" });
const publicRoute = createSampleRoute({ name: "menu", isPublic: true });

/**
 * Starts a node that reads a slow source itself. The source answers each read
 * with what it had when the read began, as late as a watch may end.
 */
export async function startKeyStage(
  options: {
    readonly sourceBounds: SourceBounds;
    readonly slowAnswerMilliseconds: number;
    /** Whether the rules contain an organisation; true if absent. */
    readonly hasOrganisations?: boolean;
  },
): Promise<KeyStage> {
  const { slowAnswerMilliseconds, hasOrganisations = true } = options;
  const time = createVirtualTime(startsAt);
  let pausedMilliseconds = 0;
  let timeOfDayOffset = 0;
  let isDown = false;
  let era = 0;
  let version = 1;
  const states: string[] = [];
  const watches: number[] = [];
  const clock = { now: () => time.clock.now() + pausedMilliseconds };
  const timers = {
    at: (instant: number, callback: () => void) =>
      time.timers.at(instant - pausedMilliseconds, callback),
  };
  const node = createMeshNode(
    createSampleSettings({ sourceBounds: options.sourceBounds }),
    {
      dialect: testDialect,
      clock,
      timeOfDay: { now: () => clock.now() + timeOfDayOffset },
      timers,
      random: createRandomSource(1),
      report: {
        call: () => undefined,
        viewChange: () => undefined,
        state: (subject, { state }) => void states.push(`${subject} ${state}`),
      },
    },
  );

  function respond(
    waitMilliseconds: number,
  ): Promise<Result<SourceReading, SourceFailure>> {
    const failure = { kind: SourceFailureKind.Unreachable, found: "cut off" };
    const organisation = createSampleOrganisation("bakery", {
      keys: version === 1 ? [key] : ["next-key"],
    });
    const reading: SourceReading = {
      era,
      revision: version,
      items: [{
        key: "rules",
        revision: version,
        fact: {
          kind: SourceValueKind.Rules,
          rules: createSampleRules({
            version,
            routes: [route, publicRoute],
            organisations: new Map(
              hasOrganisations ? [["bakery", organisation]] : [],
            ),
          }),
        },
      }],
    };
    const result = isDown
      ? Result.err<SourceReading, SourceFailure>(failure)
      : Result.ok<SourceReading, SourceFailure>(reading);
    return new Promise((resolve) =>
      time.timers.at(
        time.clock.now() + waitMilliseconds + slowAnswerMilliseconds,
        () => resolve(result),
      )
    );
  }

  const client: SourceClient = {
    readAll: () => respond(0),
    readChanges: (_, { waitMilliseconds }) => {
      watches.push(waitMilliseconds);
      return respond(waitMilliseconds);
    },
    readPart: () => respond(0),
    readBackendServer: () => respond(0),
    close: () => undefined,
  };
  const follower = followMeshSource(node, { client, callers: undefined });
  const stage: KeyStage = {
    node,
    states,
    watches,
    pass: (milliseconds) => time.advanceTo(time.clock.now() + milliseconds),
    pause: (milliseconds) => {
      pausedMilliseconds += milliseconds;
    },
    moveTimeOfDay: (milliseconds) => {
      timeOfDayOffset += milliseconds;
    },
    withdraw: () => {
      version += 1;
    },
    setDown: (down) => {
      isDown = down;
    },
    restoreCopy: () => {
      era += 1;
    },
    identify: ({ isPublic } = { isPublic: false }) =>
      authenticateCaller(node, {
        route: isPublic ? publicRoute : route,
        key,
      }).match({
        Ok: (organisation) => organisation?.name,
        Err: (reason) => reason,
      }),
    stop: () => follower.stop(),
  };
  await stage.pass(2 * slowAnswerMilliseconds);
  return stage;
}
