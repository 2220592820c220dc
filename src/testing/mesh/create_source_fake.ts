import { Result } from "true-myth";
import type { SourceClient } from "../../source/source_client.ts";
import { SourceFailureKind } from "../../source/source_failure_kind.ts";
import type { SourceFailure } from "../../source/source_failure.ts";
import type { SourceFact } from "../../source/source_fact.ts";
import type { SourceItem } from "../../source/source_item.ts";
import type { SourceReading } from "../../source/source_reading.ts";
import type { SourceFake } from "./source_fake.ts";

const stepMilliseconds = 10;
const waitSteps = 50;

/** Creates a source in memory that tests write to. */
export function createSourceFake(): SourceFake {
  const items = new Map<string, SourceItem>();
  const history: SourceItem[] = [];
  let revision = 1;
  let failure: SourceFailure | undefined;

  function write(key: string, fact: SourceFact | undefined): void {
    revision += 1;
    const item = { key, revision, fact };
    history.push(item);
    if (fact === undefined) items.delete(key);
    else items.set(key, item);
  }

  function createClient(): SourceClient {
    let closed = false;
    return {
      readAll: () =>
        Promise.resolve(
          failure === undefined
            ? Result.ok<SourceReading, SourceFailure>({
              items: [...items.values()],
              revision,
            })
            : Result.err<SourceReading, SourceFailure>(failure),
        ),
      readChanges: async (after) => {
        const getChanges = () =>
          history.filter((item) => item.revision > after);
        for (
          let step = 0;
          step < waitSteps && getChanges().length === 0 &&
          failure === undefined && !closed;
          step += 1
        ) {
          await new Promise((resolve) => setTimeout(resolve, stepMilliseconds));
        }
        return failure === undefined
          ? Result.ok<SourceReading, SourceFailure>({
            items: getChanges(),
            revision,
          })
          : Result.err<SourceReading, SourceFailure>(failure);
      },
      close: () => {
        closed = true;
      },
    };
  }

  return {
    put: write,
    remove: (key) => write(key, undefined),
    setDown: (down) => {
      failure = down
        ? { kind: SourceFailureKind.Unreachable, found: "down" }
        : undefined;
    },
    createClient,
  };
}
