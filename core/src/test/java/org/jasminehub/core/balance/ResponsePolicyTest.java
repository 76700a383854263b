package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.jasminehub.core.balance.ResponsePolicy.Decision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses that promise "not run" without proof, and against contradictory or malformed heads. */
final class ResponsePolicyTest {
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void testAPromiseWithoutProofIsReplaced(int status) {
        assertEquals(Decision.RETRY_OR_REPLACE, ResponsePolicy.decide(status, true, false));
    }

    @Test
    void testNoResponseWithAPromiseIsRelayed() {
        for (int status = 0; status < 1_000; status++) {
            boolean isPromise = ResponsePolicy.promisesNotRun(status);
            for (boolean isNotRun : new boolean[] {false, true}) {
                Decision decision = ResponsePolicy.decide(status, true, isNotRun);
                if (isPromise || isNotRun) {
                    assertNotEquals(Decision.RELAY, decision, "status " + status);
                    assertNotEquals(Decision.RETRY_OR_RELAY, decision, "status " + status);
                }
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "200,true,false,RELAY",
        "200,false,false,INVALID",
        "200,true,true,INVALID",
        "304,false,false,RELAY",
        "404,false,false,RELAY",
        "400,false,true,NOT_RUN",
        "421,false,false,MISDIRECTED",
        "429,false,true,NOT_RUN",
        "500,true,false,RETRY_OR_RELAY",
        "503,false,true,NOT_RUN",
        "100,true,false,INVALID",
        "600,true,false,INVALID",
    })
    void testDecision(int status, boolean isSigned, boolean isNotRun, Decision expected) {
        assertEquals(expected, ResponsePolicy.decide(status, isSigned, isNotRun));
    }
}
