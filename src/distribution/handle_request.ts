import { match } from "ts-pattern";
import { createReconcileResponse } from "./create_reconcile_response.ts";
import { createExchangeMessage } from "./create_exchange_message.ts";
import type { DistributionResponse } from "./distribution_response.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { DistributionEffectKind } from "./distribution_effect_kind.ts";
import { DistributionMethod } from "./distribution_method.ts";
import type { DistributionRequest } from "./distribution_request.ts";
import type { DistributionState } from "./distribution_state.ts";
import { getAdvertisedConfiguration } from "./get_advertised_configuration.ts";
import { createTransition } from "./create_transition.ts";
import { handleExchangeMessage } from "./handle_exchange_message.ts";
import { handleStoreRequest } from "./handle_store_request.ts";
import type { Transition } from "./transition.ts";

/** A transition and the response to the request that caused it. */
interface HandledRequest extends Transition {
  readonly answer: DistributionResponse;
}

/** Handles a request of another node and replies with the response. */
export function handleRequest(
  state: DistributionState,
  request: DistributionRequest,
  options: {
    readonly requestIdentifier: number;
    readonly context: DistributionContext;
  },
): Transition {
  const { requestIdentifier, context } = options;
  const handled = processRequest(state, request, context);
  return {
    state: handled.state,
    effects: [...handled.effects, {
      kind: DistributionEffectKind.Reply,
      requestIdentifier,
      answer: handled.answer,
    }],
  };
}

function processRequest(
  state: DistributionState,
  request: DistributionRequest,
  context: DistributionContext,
): HandledRequest {
  const { versions } = state;
  return match(request)
    .returnType<HandledRequest>()
    .with({ method: DistributionMethod.Exchange }, ({ method, parameters }) => {
      const received = handleExchangeMessage(state, parameters, context);
      const created = createExchangeMessage(received.state, {
        responseTo: parameters,
      });
      return {
        state: created.state,
        effects: received.effects,
        answer: { method, result: created.message },
      };
    })
    .with(
      { method: DistributionMethod.Reconcile },
      ({ method, parameters }) => ({
        ...createTransition(state),
        answer: {
          method,
          result: createReconcileResponse(state.peers, parameters),
        },
      }),
    )
    .with({ method: DistributionMethod.ReadManifest }, ({ method }) => ({
      ...createTransition(state),
      answer: {
        method,
        result: {
          manifest: getAdvertisedConfiguration(state)?.set.manifest,
        },
      },
    }))
    .with(
      { method: DistributionMethod.ReadParts },
      ({ method, parameters }) => ({
        ...createTransition(state),
        answer: {
          method,
          result: {
            parts: parameters.digests.flatMap((digest) =>
              versions.parts.get(digest) ?? []
            ),
          },
        },
      }),
    )
    .with(
      { method: DistributionMethod.StoreVersion },
      ({ method, parameters }) => {
        const { answer, ...transition } = handleStoreRequest(
          state,
          parameters,
          context,
        );
        return { ...transition, answer: { method, result: answer } };
      },
    )
    .exhaustive();
}
