import { Result } from "true-myth";
import type { SourceClient } from "../../source/source_client.ts";
import { SourceFailureKind } from "../../source/source_failure_kind.ts";
import type { SourceFailure } from "../../source/source_failure.ts";
import { SourceValueKind } from "../../source/source_value_kind.ts";
import type { SourceValue } from "../../source/source_value.ts";
import type { SourceItem } from "../../source/source_item.ts";
import type { SourceReading } from "../../source/source_reading.ts";
import type { SourceFake } from "./source_fake.ts";

const pollIntervalMilliseconds = 10;
const rejectedFailure: SourceFailure = {
  kind: SourceFailureKind.Rejected,
  found: "reads are rejected",
};
const historyLostFailure: SourceFailure = {
  kind: SourceFailureKind.HistoryLost,
  found: "a revision that the copy does not have",
};

/** Creates an empty source in memory, at revision 1. */
export function createSourceFake(): SourceFake {
  let items = new Map<string, SourceItem>();
  let history: readonly SourceItem[] = [];
  let era = 0;
  let revision = 1;
  let failure: SourceFailure | undefined;
  const reads: number[] = [];
  const rejectedClients = new Set<number>();

  function write(key: string, fact: SourceValue | undefined): void {
    revision += 1;
    const item = { key, revision, fact };
    history = [...history, item];
    applyItem(item);
  }

  function applyItem(item: SourceItem): void {
    if (item.fact === undefined) items.delete(item.key);
    else items.set(item.key, item);
  }

  function restoreCopy(
    { changesLost }: { readonly changesLost: number },
  ): void {
    history = history.slice(0, -changesLost);
    items = new Map();
    history.forEach(applyItem);
    revision = history.at(-1)?.revision ?? 1;
    era += 1;
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
          getChanges().length === 0 && after.revision <= revision &&
          getFailure() === undefined && !closed;
          step += 1
        ) {
          await new Promise((resolve) =>
            setTimeout(resolve, pollIntervalMilliseconds)
          );
        }
        return after.revision > revision
          ? Result.err(historyLostFailure)
          : respond(() => ({ items: getChanges(), era, revision }));
      },
      readPart: () =>
        Promise.resolve(respond(() => ({ items: [], era, revision }))),
      readBackendServer: (identifier) => {
        const isEntry = ({ fact }: SourceItem) =>
          fact?.kind === SourceValueKind.BackendServer &&
          fact.entry.identifier === identifier;
        return Promise.resolve(
          respond(() => ({
            items: [...items.values()].filter(isEntry),
            era,
            revision,
          })),
        );
      },
      close: () => {
        closed = true;
      },
    };
  }

  return {
    put: write,
    remove: (key) => write(key, undefined),
    restoreCopy,
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
