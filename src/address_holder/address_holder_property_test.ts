import test from "ava";
import fc from "fast-check";
import type { ClockReading } from "../runtime/clock_reading.ts";
import type { AddressHolder } from "./address_holder.ts";
import { classifyHolder } from "./classify_holder.ts";
import { createAddressHolder } from "./create_address_holder.ts";
import { HolderKind } from "./holder_kind.ts";
import { recordOwnAnswer } from "./record_own_answer.ts";
import { recordRejectedIdentifier } from "./record_rejected_identifier.ts";
import { recordSighting } from "./record_sighting.ts";

const ownService = "vitrine";
const otherService = "encomendas";
const reuseMilliseconds = 2_000;

/** One incarnation at the address, in the order of their starts. */
interface AddressUse {
  readonly isOwn: boolean;
  readonly startsAt: number;
  readonly endsAt: number;
  /** When the register lists it; infinity if it never does. */
  readonly listedAt: number;
}

/** A request of the node, and when its answer has arrived. */
interface Exchange {
  readonly sentAt: number;
  readonly answeredAt: number;
  readonly isProbe: boolean;
  /** Whether a rejection names the holder. */
  readonly isNamed: boolean;
}

const addressUses = fc.array(
  fc.record({
    isOwn: fc.boolean(),
    gapMilliseconds: fc.oneof(fc.constant(0), fc.nat(4_000)),
    lifeMilliseconds: fc.nat(5_000),
    listDelay: fc.option(fc.nat(6_000), { nil: Infinity }),
  }),
  { minLength: 1, maxLength: 6 },
).map((steps) =>
  steps.reduce<readonly AddressUse[]>((earlier, step) => {
    const previous = earlier.at(-1);
    const isSameService = previous === undefined ||
      previous.isOwn === step.isOwn;
    const startsAt = (previous?.endsAt ?? 0) + step.gapMilliseconds +
      (isSameService ? 0 : reuseMilliseconds);
    return [...earlier, {
      isOwn: step.isOwn,
      startsAt,
      endsAt: startsAt + step.lifeMilliseconds,
      listedAt: startsAt + step.listDelay,
    }];
  }, [])
);

const exchanges = fc.array(
  fc.record({
    gapMilliseconds: fc.oneof(fc.nat(20), fc.nat(1_500)),
    waitMilliseconds: fc.oneof(fc.nat(20), fc.nat(3_000)),
    isProbe: fc.boolean(),
    isNamed: fc.boolean(),
  }),
  { maxLength: 40 },
).map((steps) =>
  steps.reduce<readonly Exchange[]>((earlier, step) => {
    const sentAt = (earlier.at(-1)?.sentAt ?? 0) + step.gapMilliseconds;
    const { isProbe, isNamed, waitMilliseconds } = step;
    const answeredAt = sentAt + waitMilliseconds;
    return [...earlier, { sentAt, answeredAt, isProbe, isNamed }];
  }, [])
);

/** The VM is suspended from `at` on: its steady clock stands still for so long. */
const suspensions = fc.record({
  at: fc.nat(20_000),
  forMilliseconds: fc.nat(8_000),
});

interface Suspension {
  readonly at: number;
  readonly forMilliseconds: number;
}

function readClocks(
  now: number,
  { at, forMilliseconds }: Suspension,
): ClockReading {
  const suspended = Math.min(Math.max(0, now - at), forMilliseconds);
  return { monotonic: now - suspended, timeOfDay: now };
}

function classify(
  holder: AddressHolder,
  options: {
    readonly addressUses: readonly AddressUse[];
    readonly now: number;
  },
): HolderKind {
  const { now } = options;
  const use = options.addressUses[Number(holder.latest?.identifier)];
  const isListed = use !== undefined && use.listedAt <= now;
  const listedOwn = options.addressUses.findLastIndex((candidate) =>
    candidate.isOwn && candidate.listedAt <= now
  );
  return classifyHolder(holder, {
    service: ownService,
    listedService: isListed
      ? (use.isOwn ? ownService : otherService)
      : undefined,
    registeredIdentifier: listedOwn < 0 ? undefined : String(listedOwn),
  });
}

// Guards against calls for a backend server of another service: whatever the
// register lists late, and whichever answers arrive late or in another order.
test("no holder of the address is ever taken for one of the node's service that is not", (t) => {
  fc.assert(
    fc.property(
      addressUses,
      exchanges,
      suspensions,
      (plan, requests, suspension) => {
        const holder = createAddressHolder();
        const sorted = [...requests].sort((left, right) =>
          left.answeredAt - right.answeredAt
        );
        return sorted.every((exchange) => {
          const { sentAt, answeredAt, isProbe, isNamed } = exchange;
          // Whoever is there between the sending and the arrival of the answer.
          const index = plan.findIndex(({ startsAt, endsAt }) =>
            startsAt <= answeredAt && endsAt >= sentAt
          );
          const before = classify(holder, {
            addressUses: plan,
            now: answeredAt,
          });
          if (index < 0) return isSound(holder, before);
          const identifier = String(index);
          const seenAt = readClocks(sentAt, suspension);
          const target = holder.latest?.identifier ?? identifier;
          if (isProbe) {
            recordSighting(holder, {
              sighting: { identifier, seenAt },
              answeredAt: readClocks(answeredAt, suspension),
              reuseMilliseconds,
            });
          } else if (before === HolderKind.Own && target === identifier) {
            recordOwnAnswer(holder, { identifier, seenAt });
          } else if (isNamed) {
            recordSighting(holder, {
              sighting: { identifier, seenAt },
              answeredAt: readClocks(answeredAt, suspension),
              reuseMilliseconds,
            });
          } else {
            recordRejectedIdentifier(holder, target);
          }
          return isSound(
            holder,
            classify(holder, { addressUses: plan, now: answeredAt }),
          );
        });

        function isSound(state: AddressHolder, kind: HolderKind): boolean {
          const isOwn = plan[Number(state.latest?.identifier)]?.isOwn ?? false;
          return kind !== HolderKind.Own || isOwn;
        }
      },
    ),
    { numRuns: 3_000, seed: 11 },
  );
  t.pass();
});
