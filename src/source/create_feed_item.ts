import { match } from "ts-pattern";
import type { Rules } from "../routing/rules.ts";
import { createRulesChange } from "../routing/create_rules_change.ts";
import type { FeedFact } from "./feed_fact.ts";
import type { FeedItem } from "./feed_item.ts";
import type { SourceFact } from "./source_fact.ts";
import { SourceFactKind } from "./source_fact_kind.ts";
import type { SourceItem } from "./source_item.ts";

interface Context {
  /** The rules in force before the item was read. */
  readonly rules: Rules | undefined;
  readonly now: number;
}

/** Returns an item in the form in which neighbours get it. */
export function createFeedItem(item: SourceItem, context: Context): FeedItem {
  const { key, revision, fact } = item;
  if (fact === undefined) return { key, revision };
  return { key, revision, fact: createFact(fact, context) };
}

function createFact(fact: SourceFact, { rules, now }: Context): FeedFact {
  return match(fact)
    .returnType<FeedFact>()
    .with({ kind: SourceFactKind.Rules }, ({ kind, rules: next }) => ({
      kind,
      change: createRulesChange(rules, next),
    }))
    .with({ kind: SourceFactKind.BackendServer }, ({ kind, entry }) => {
      const { coldUntil, ...lasting } = entry;
      const coldMilliseconds = Math.max(0, coldUntil - now);
      return { kind, entry: lasting, coldMilliseconds };
    })
    .with({ kind: SourceFactKind.ZoneTakenOut }, (same) => same)
    .with({ kind: SourceFactKind.Foreign }, (same) => same)
    .exhaustive();
}
