import { match, P } from "ts-pattern";
import type { Rules } from "../routing/rules.ts";
import { tryApplyRulesChange } from "../routing/try_apply_rules_change.ts";
import type { FeedValue } from "./feed_value.ts";
import type { FeedItem } from "./feed_item.ts";
import type { SourceValue } from "./source_value.ts";
import { SourceValueKind } from "./source_value_kind.ts";
import type { SourceItem } from "./source_item.ts";

interface Context {
  /** The rules in force at this node, to which a change of rules is applied. */
  readonly rules: Rules | undefined;
  /** When the sender read the item, in milliseconds since the Unix epoch by this node's clock. */
  readonly readAt: number;
}

/** Converts a neighbour's item to an item of the source; returns undefined if it changes a version of the rules that this node does not have. */
export function tryCreateSourceItem(
  item: FeedItem,
  context: Context,
): SourceItem | undefined {
  const { key, revision, fact } = item;
  if (fact === undefined) return { key, revision, fact };
  const value = tryCreateSourceValue(fact, context);
  return value === undefined ? undefined : { key, revision, fact: value };
}

function tryCreateSourceValue(
  fact: FeedValue,
  { rules, readAt }: Context,
): SourceValue | undefined {
  return match(fact)
    .returnType<SourceValue | undefined>()
    .with({ kind: SourceValueKind.Rules }, ({ kind, change }) => {
      const next = tryApplyRulesChange(rules, change);
      return next === undefined ? undefined : { kind, rules: next };
    })
    .with(
      { kind: SourceValueKind.BackendServer },
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
        kind: P.union(SourceValueKind.ZoneTakenOut, SourceValueKind.Foreign),
      },
      (unchanged) => unchanged,
    )
    .exhaustive();
}
