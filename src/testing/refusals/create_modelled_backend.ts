import { match } from "ts-pattern";
import type { ChooseOption } from "./choose_option.ts";
import type { ModelledAnswer } from "./modelled_answer.ts";
import type { ModelledBackend } from "./modelled_backend.ts";
import type { ModelledNetwork } from "./modelled_network.ts";
import { ModelledTreatment } from "./modelled_treatment.ts";

const treatments = Object.values(ModelledTreatment);

/**
 * Creates a backend server that treats each request in any way, and may send a
 * second copy of an answer where the next one on its connection is expected.
 */
export function createModelledBackend(
  options: {
    readonly network: ModelledNetwork;
    readonly choose: ChooseOption;
  },
): ModelledBackend {
  const { network, choose } = options;
  const copies = new Map<number, ModelledAnswer>();
  let runs = 0;

  return {
    countRuns: () => runs,
    receive: (connection, onAnswer) => {
      const channel = `answers of ${connection}`;
      const send = (answer: ModelledAnswer | undefined) =>
        network.send(channel, () => onAnswer(answer));
      const copy = copies.get(connection);
      copies.delete(connection);
      if (copy !== undefined && choose(2) === 1) send(copy);
      const treatment = treatments[choose(treatments.length)]!;
      if (treatment !== ModelledTreatment.ConfirmedRejection) runs += 1;
      const answer = getAnswer(treatment);
      if (answer !== undefined) copies.set(connection, answer);
      send(answer);
    },
  };
}

function getAnswer(treatment: ModelledTreatment): ModelledAnswer | undefined {
  return match(treatment)
    .with(ModelledTreatment.Success, () => ({ status: 200, notRun: false }))
    .with(ModelledTreatment.Lost, () => undefined)
    .with(
      ModelledTreatment.ConfirmedRejection,
      () => ({ status: 503, notRun: true }),
    )
    .with(
      ModelledTreatment.UnconfirmedRejection,
      () => ({ status: 503, notRun: false }),
    )
    .exhaustive();
}
