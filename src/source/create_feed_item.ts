import { match } from "ts-pattern";
import type { Rules } from "../routing/rules.ts";
import { createRulesChange } from "../routing/create_rules_change.ts";
import type { FeedValue } from "./feed_value.ts";
import type { FeedItem } from "./feed_item.ts";
import type { SourceValue } from "./source_value.ts";
import { SourceValueKind } from "./source_value_kind.ts";
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

function createFeedValue(
  fact: SourceValue,
  { rules, now }: Context,
): FeedValue {
  return match(fact)
    .returnType<FeedValue>()
    .with({ kind: SourceValueKind.Rules }, ({ kind, rules: next }) => ({
      kind,
      change: createRulesChange(rules, next),
    }))
    .with({ kind: SourceValueKind.BackendServer }, ({ kind, entry }) => {
      const { coldUntil, ...rest } = entry;
      const coldMilliseconds = Math.max(0, coldUntil - now);
      return { kind, entry: rest, coldMilliseconds };
    })
    .with({ kind: SourceValueKind.ZoneTakenOut }, (unchanged) => unchanged)
    .with({ kind: SourceValueKind.Foreign }, (unchanged) => unchanged)
    .exhaustive();
}
