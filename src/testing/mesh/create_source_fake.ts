import { Result } from "true-myth";
import type { SourceClient } from "../../source/source_client.ts";
import { SourceFailureKind } from "../../source/source_failure_kind.ts";
import type { SourceFailure } from "../../source/source_failure.ts";
import type { SourceValue } from "../../source/source_value.ts";
import type { SourceItem } from "../../source/source_item.ts";
import type { SourceReading } from "../../source/source_reading.ts";
import type { SourceFake } from "./source_fake.ts";

const pollIntervalMilliseconds = 10;
const rejectedFailure: SourceFailure = {
  kind: SourceFailureKind.Rejected,
  found: "reads are rejected",
};

/** Creates an empty source in memory, at revision 1. */
export function createSourceFake(): SourceFake {
  const items = new Map<string, SourceItem>();
  const history: SourceItem[] = [];
  const era = 0;
  let revision = 1;
  let failure: SourceFailure | undefined;
  const reads: number[] = [];
  const rejectedClients = new Set<number>();

  function write(key: string, fact: SourceValue | undefined): void {
    revision += 1;
    const item = { key, revision, fact };
    history.push(item);
    if (fact === undefined) items.delete(key);
    else items.set(key, item);
  }

  function createClient(): SourceClient {
    let closed = false;
    const index = reads.push(0) - 1;
    const getFailure = () =>
      rejectedClients.has(index) ? rejectedFailure : failure;

    function respond(
      getReading: () => SourceReading,
    ): Result<SourceReading, SourceFailure> {
      const currentFailure = getFailure();
      return currentFailure === undefined
        ? Result.ok(getReading())
        : Result.err(currentFailure);
    }

    return {
      readAll: () => {
        reads[index]! += 1;
        return Promise.resolve(
          respond(() => ({ items: [...items.values()], era, revision })),
        );
      },
      readChanges: async (after, { waitMilliseconds }) => {
        reads[index]! += 1;
        const getChanges = () =>
          history.filter((item) => item.revision > after.revision);
        for (
          let step = 0;
          step * pollIntervalMilliseconds < waitMilliseconds &&
          getChanges().length === 0 && getFailure() === undefined && !closed;
          step += 1
        ) {
          await new Promise((resolve) =>
            setTimeout(resolve, pollIntervalMilliseconds)
          );
        }
        return respond(() => ({ items: getChanges(), era, revision }));
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
    setRejecting: (client, rejecting) => {
      if (rejecting) rejectedClients.add(client);
      else rejectedClients.delete(client);
    },
    getReadCounts: () => reads,
    createClient,
  };
}
