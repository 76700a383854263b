package org.jasminehub.gateway.experts;

import java.util.List;
import org.jasminehub.core.experts.placement.RankOrder;
import org.jasminehub.core.experts.placement.RankView;
import org.jasminehub.wire.generated.LayerExperts;
import org.jasminehub.wire.generated.LayerMap;
import org.jasminehub.wire.generated.RankOrderKind;
import org.jasminehub.wire.generated.RankOrderRequest;
import org.jasminehub.wire.generated.RankStatus;

/** Converts orders and rank statuses to and from peer messages. */
final class RankMessageConverter {
    private RankMessageConverter() {}

    static RankOrder.Kind kindOf(RankOrderKind kind) {
        return switch (kind) {
            case RANK_ARM -> RankOrder.Kind.ARM;
            case RANK_DISARM -> RankOrder.Kind.DISARM;
            case RANK_HOLD -> RankOrder.Kind.HOLD;
            case RANK_RELEASE -> RankOrder.Kind.RELEASE;
            default -> RankOrder.Kind.PREPARE;
        };
    }

    private static RankOrderKind kindOf(RankOrder.Kind kind) {
        return switch (kind) {
            case PREPARE -> RankOrderKind.RANK_PREPARE;
            case ARM -> RankOrderKind.RANK_ARM;
            case DISARM -> RankOrderKind.RANK_DISARM;
            case HOLD -> RankOrderKind.RANK_HOLD;
            case RELEASE -> RankOrderKind.RANK_RELEASE;
        };
    }

    static RankOrderRequest request(long id, RankOrder order, long epoch, List<List<List<Integer>>> map) {
        RankOrderRequest.Builder request = RankOrderRequest.newBuilder()
                .setOrderId(id)
                .setKind(kindOf(order.kind()))
                .setVersion(order.version())
                .setEpoch(epoch)
                .setStep(order.step());
        if (order.kind() == RankOrder.Kind.PREPARE) {
            for (List<List<Integer>> layer : map) {
                LayerMap.Builder ranks = LayerMap.newBuilder();
                layer.forEach(held -> ranks.addRanks(LayerExperts.newBuilder().addAllExperts(held)));
                request.addMap(ranks);
            }
        }
        return request.build();
    }

    static List<List<List<Integer>>> mapOf(RankOrderRequest request) {
        return request.getMapList().stream()
                .map(layer -> layer.getRanksList().stream()
                        .map(held -> List.copyOf(held.getExpertsList()))
                        .toList())
                .toList();
    }

    static RankView view(RankStatus status) {
        return new RankView(
                status.getRank(),
                status.getEpoch(),
                status.getIsOpen(),
                status.getStep(),
                status.getMapVersion(),
                status.getPreparedVersion(),
                status.getArmedVersion(),
                status.getArmedStep(),
                status.getHeldStep());
    }
}
