import { match, P } from "ts-pattern";
import type { Rules } from "../routing/rules.ts";
import { tryApplyRulesChange } from "../routing/try_apply_rules_change.ts";
import type { FeedFact } from "./feed_fact.ts";
import type { FeedItem } from "./feed_item.ts";
import type { SourceFact } from "./source_fact.ts";
import { SourceFactKind } from "./source_fact_kind.ts";
import type { SourceItem } from "./source_item.ts";

interface Context {
  /** The rules in force at this node. */
  readonly rules: Rules | undefined;
  /** When the item was read by the sender, in milliseconds since the Unix epoch on this clock. */
  readonly readAt: number;
}

/** Returns a neighbour's item as the source would have given it; undefined where it changes rules that this node does not have. */
export function tryReadFeedItem(
  item: FeedItem,
  context: Context,
): SourceItem | undefined {
  const { key, revision, fact } = item;
  if (fact === undefined) return { key, revision, fact };
  const read = tryReadFact(fact, context);
  return read === undefined ? undefined : { key, revision, fact: read };
}

function tryReadFact(
  fact: FeedFact,
  { rules, readAt }: Context,
): SourceFact | undefined {
  return match(fact)
    .returnType<SourceFact | undefined>()
    .with({ kind: SourceFactKind.Rules }, ({ kind, change }) => {
      const next = tryApplyRulesChange(rules, change);
      return next === undefined ? undefined : { kind, rules: next };
    })
    .with(
      { kind: SourceFactKind.BackendServer },
      ({ kind, entry, coldMilliseconds }) => ({
        kind,
        entry: {
          ...entry,
          coldUntil: coldMilliseconds > 0 ? readAt + coldMilliseconds : 0,
        },
      }),
    )
    .with(
      {
        kind: P.union(SourceFactKind.ZoneTakenOut, SourceFactKind.Foreign),
      },
      (same) => same,
    )
    .exhaustive();
}
