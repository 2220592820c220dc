import { match } from "ts-pattern";
import type { Rules } from "../routing/rules.ts";
import { createRulesChange } from "../routing/create_rules_change.ts";
import type { FeedValue } from "./feed_value.ts";
import type { FeedItem } from "./feed_item.ts";
import type { SourceFact } from "./source_fact.ts";
import { SourceFactKind } from "./source_fact_kind.ts";
import type { SourceItem } from "./source_item.ts";

interface Context {
  /** The rules in force before the item was read; the change is relative to them. */
  readonly rules: Rules | undefined;
  /** In milliseconds since the Unix epoch. */
  readonly now: number;
}

/** Creates the item that is sent to neighbours for an item read from the source. */
export function createFeedItem(item: SourceItem, context: Context): FeedItem {
  const { key, revision, fact } = item;
  if (fact === undefined) return { key, revision };
  return { key, revision, fact: createFeedValue(fact, context) };
}

function createFeedValue(fact: SourceFact, { rules, now }: Context): FeedValue {
  return match(fact)
    .returnType<FeedValue>()
    .with({ kind: SourceFactKind.Rules }, ({ kind, rules: next }) => ({
      kind,
      change: createRulesChange(rules, next),
    }))
    .with({ kind: SourceFactKind.BackendServer }, ({ kind, entry }) => {
      const { coldUntil, ...rest } = entry;
      const coldMilliseconds = Math.max(0, coldUntil - now);
      return { kind, entry: rest, coldMilliseconds };
    })
    .with({ kind: SourceFactKind.ZoneTakenOut }, (unchanged) => unchanged)
    .with({ kind: SourceFactKind.Foreign }, (unchanged) => unchanged)
    .exhaustive();
}
